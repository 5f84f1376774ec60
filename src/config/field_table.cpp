#include "config/field_table.h"

#include <algorithm>
#include <arpa/inet.h>
#include <array>

namespace sapphirepass {

static constexpr std::array upstreamStates { Choice { UpstreamState::Active, "active" }, Choice { UpstreamState::Draining, "draining" } };
static constexpr std::array routeAccesses { Choice { RouteAccess::Keyed, "keyed" }, Choice { RouteAccess::Open, "open" } };
static constexpr std::array routeRepeats { Choice { RouteRepeat::Method, "method" }, Choice { RouteRepeat::Idempotent, "idempotent" }, Choice { RouteRepeat::Once, "once" } };
static constexpr std::array moveStates { Choice { MoveState::Planned, "planned" }, Choice { MoveState::Running, "running" }, Choice { MoveState::Paused, "paused" } };

static auto choicesOf(UpstreamState) -> const auto& { return upstreamStates; }
static auto choicesOf(RouteAccess) -> const auto& { return routeAccesses; }
static auto choicesOf(RouteRepeat) -> const auto& { return routeRepeats; }
static auto choicesOf(MoveState) -> const auto& { return moveStates; }

namespace {
    constexpr std::size_t maxNameLength = 64;
    constexpr std::size_t maxPathLength = 256;

    auto isPath(std::string_view text) -> bool
    {
        const auto allowed = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '/' || c == '-' || c == '_' || c == '.'; };
        return text.starts_with('/') && text.size() <= maxPathLength && text.find("//") == std::string_view::npos
            && text.find("/.") == std::string_view::npos && std::all_of(text.begin(), text.end(), allowed);
    }

    auto isHex(std::string_view text) -> bool
    {
        const auto digit = [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); };
        return !text.empty() && text.size() <= maxPathLength && std::all_of(text.begin(), text.end(), digit);
    }

    template <auto Member>
    constexpr auto nameField(std::string_view name, std::string_view expected) -> Field<OwnerOf<Member>>
    {
        return textField<Member, isName>(name, Presence::Required, expected);
    }

    constexpr auto required = Presence::Required;
    constexpr auto optional = Presence::Optional;
    constexpr Bounds upToMillion { 0, 1'000'000 };
    constexpr Bounds oneToMillion { 1, 1'000'000 };
    constexpr Bounds upToDay { 0, 86'400'000 };

    constexpr std::array regionFields {
        valueField<&Region::limit_>("limit", optional, "requests running at once, 0 for no bound", upToMillion),
    };
    constexpr std::array domainFields {
        nameField<&FailureDomain::region_>("region", "the name of a region"),
    };
    constexpr std::array linkFields {
        nameField<&Link::from_>("from", "the name of a region"),
        nameField<&Link::to_>("to", "the name of a region"),
        valueField<&Link::megabits_>("megabits", required, "megabits a second each way, 1 to 1000000", oneToMillion),
    };
    constexpr std::array workspaceFields {
        valueField<&Workspace::rate_>("rate", required, "requests a second, 1 to 1000000", oneToMillion),
        valueField<&Workspace::burst_>("burst", required, "requests, 1 to 1000000", oneToMillion),
    };
    constexpr std::array keyFields {
        nameField<&Key::workspace_>("workspace", "the name of a workspace"),
        textField<&Key::salt_, isHex>("salt", optional, "hexadecimal digits"),
        textField<&Key::hash_, isHex>("hash", optional, "hexadecimal digits"),
    };
    constexpr std::array upstreamFields {
        nameField<&Upstream::service_>("service", "the name of a service"),
        nameField<&Upstream::domain_>("domain", "the name of a failure domain"),
        valueField<&Upstream::address_>("address", required, "an IPv4 address and port, such as 127.0.0.1:9000"),
        valueField<&Upstream::slots_>("slots", required, "requests running at once, 1 to 10000", Bounds { 1, 10'000 }),
        valueField<&Upstream::connections_>("connections", optional, "connections at once, 1 to 1000000", oneToMillion),
        valueField<&Upstream::coldStart_>("cold-start", optional, "a duration up to 24h, such as 30s", upToDay),
        valueField<&Upstream::state_>("state", optional, "active or draining"),
    };
    constexpr std::array routeFields {
        textField<&Route::path_, isPath>("path", required, "a path prefix such as /quotes"),
        nameField<&Route::service_>("service", "the name of a service"),
        valueField<&Route::access_>("access", optional, "keyed or open"),
        valueField<&Route::repeat_>("repeat", optional, "method, idempotent or once"),
        valueField<&Route::deadline_>("deadline", optional, "a duration from 10ms to 1h", Bounds { 10, 3'600'000 }),
        valueField<&Route::size_>("size", optional, "bytes of request body, 0 to 1073741824", Bounds { 0, 1'073'741'824 }),
    };
    constexpr std::array moveFields {
        nameField<&Move::service_>("service", "the name of a service"),
        nameField<&Move::from_>("from", "the name of a region"),
        nameField<&Move::to_>("to", "the name of a region"),
        valueField<&Move::share_>("share", required, "percent, 0 to 100", Bounds { 0, 100 }),
        valueField<&Move::cap_>("cap", required, "requests a second, 0 to 1000000", upToMillion),
        valueField<&Move::ramp_>("ramp", optional, "a duration up to 24h", upToDay),
        valueField<&Move::state_>("state", optional, "planned, running or paused"),
    };
    constexpr std::array blockFields {
        nameField<&ClientBlock::region_>("region", "the name of a region"),
    };
}

auto isName(std::string_view text) -> bool
{
    const auto allowed = [](char c) { return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.'; };
    return !text.empty() && text.size() <= maxNameLength && std::isalnum(static_cast<unsigned char>(text.front())) != 0
        && std::all_of(text.begin(), text.end(), allowed);
}

auto isIpv4Prefix(std::string_view text) -> bool
{
    const auto slash = text.find('/');
    if (slash == std::string_view::npos)
        return false;
    const auto length = parseNumber(text.substr(slash + 1), { 0, 32 });
    in_addr address {};
    if (!length || inet_pton(AF_INET, std::string(text.substr(0, slash)).c_str(), &address) != 1)
        return false;
    const std::uint64_t behind = (std::uint64_t { 1 } << (32 - *length)) - 1;
    return (ntohl(address.s_addr) & behind) == 0;
}

template <>
auto kindName<Region>() -> std::string_view { return "region"; }
template <>
auto kindName<FailureDomain>() -> std::string_view { return "domain"; }
template <>
auto kindName<Link>() -> std::string_view { return "link"; }
template <>
auto kindName<Workspace>() -> std::string_view { return "workspace"; }
template <>
auto kindName<Key>() -> std::string_view { return "key"; }
template <>
auto kindName<WithdrawnKey>() -> std::string_view { return "withdrawn-key"; }
template <>
auto kindName<Upstream>() -> std::string_view { return "upstream"; }
template <>
auto kindName<Route>() -> std::string_view { return "route"; }
template <>
auto kindName<Move>() -> std::string_view { return "move"; }
template <>
auto kindName<ClientBlock>() -> std::string_view { return "block"; }

template <>
auto fieldsOf<Region>() -> std::span<const Field<Region>> { return regionFields; }
template <>
auto fieldsOf<FailureDomain>() -> std::span<const Field<FailureDomain>> { return domainFields; }
template <>
auto fieldsOf<Link>() -> std::span<const Field<Link>> { return linkFields; }
template <>
auto fieldsOf<Workspace>() -> std::span<const Field<Workspace>> { return workspaceFields; }
template <>
auto fieldsOf<Key>() -> std::span<const Field<Key>> { return keyFields; }
template <>
auto fieldsOf<WithdrawnKey>() -> std::span<const Field<WithdrawnKey>> { return {}; }
template <>
auto fieldsOf<Upstream>() -> std::span<const Field<Upstream>> { return upstreamFields; }
template <>
auto fieldsOf<Route>() -> std::span<const Field<Route>> { return routeFields; }
template <>
auto fieldsOf<Move>() -> std::span<const Field<Move>> { return moveFields; }
template <>
auto fieldsOf<ClientBlock>() -> std::span<const Field<ClientBlock>> { return blockFields; }

} // namespace sapphirepass
