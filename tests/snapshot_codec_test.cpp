#include "config/command_func.h"
#include "config/config_state.h"
#include "config/snapshot_codec.h"
#include "language/command_parser.h"

#include <catch2/catch.hpp>
#include <fmt/format.h>
#include <rapidcheck/catch.h>

using namespace sapphirepass;

namespace {

constexpr std::string_view regions = "declare region luzon limit 7; declare region cebu; declare domain l1 region luzon; declare domain c1 region cebu;"
                                     "declare link lc from luzon to cebu megabits 4000; declare workspace acme rate 10 burst 5; declare workspace zeta rate 1 burst 1";

auto applyText(const Snapshot& snapshot, std::string_view text) -> Snapshot
{
    return valueOf(applyBatch(snapshot, valueOf(parseBatch(text))));
}

// A command that may be refused; a refused one changes nothing.
auto genCommand() -> rc::Gen<std::string>
{
    return rc::gen::map(rc::gen::tuple(rc::gen::inRange(0, 9), rc::gen::inRange(1, 6)), [](const std::tuple<int, int>& drawn) {
        const auto [form, n] = drawn;
        switch (form) {
        case 0:
            return fmt::format("declare key k{} workspace acme salt 0a hash {:02x}", n, n);
        case 1:
            return fmt::format("withdraw key k{}", n);
        case 2:
            return fmt::format("declare upstream u{0} service s domain c1 address 127.0.0.1:900{0} slots {0} cold-start {0}s", n);
        case 3:
            return fmt::format("change upstream u{} state draining connections {}", n, n * 10);
        case 4:
            return fmt::format("declare route r{0} path /q{0} service s access open repeat once deadline {0}m", n);
        case 5:
            return fmt::format("declare move m{0} service s from luzon to cebu share {0} cap 100 ramp 1h", n);
        case 6:
            return fmt::format("declare block 10.{}.0.0/16 region cebu", n);
        case 7:
            return fmt::format("retire upstream u{}", n);
        default:
            return std::string("retire workspace acme force");
        }
    });
}

auto drawSnapshot() -> Snapshot
{
    auto snapshot = applyText(Snapshot {}, regions);
    const auto commands = *rc::gen::container<std::vector<std::string>>(genCommand());
    for (const auto& command : commands) {
        auto applied = applyBatch(snapshot, valueOf(parseBatch(command)));
        if (isOk(applied))
            snapshot = valueOf(std::move(applied));
    }
    return snapshot;
}

}

TEST_CASE("a snapshot survives its text form", "[config]")
{
    rc::prop("round trip keeps revision, content and state hash", [] {
        const auto snapshot = drawSnapshot();
        const auto text = encodeSnapshot(snapshot);
        const auto decoded = valueOf(decodeSnapshot(text));
        RC_ASSERT(decoded.revision() == snapshot.revision());
        RC_ASSERT(decoded.stateHash() == snapshot.stateHash());
        RC_ASSERT(encodeSnapshot(decoded) == text);
    });
}

TEST_CASE("a damaged snapshot is refused", "[config]")
{
    const auto text = encodeSnapshot(applyText(Snapshot {}, regions));
    const auto damaged = GENERATE_COPY(as<std::string> {}, "", text.substr(0, text.size() / 2), "sapphirepass-snapshot 2" + text.substr(23),
        text + "declare region extra\n", text + "show regions\n", text.substr(text.find('\n')));
    CAPTURE(damaged);
    CHECK_FALSE(isOk(decodeSnapshot(damaged)));
}

TEST_CASE("installing a snapshot only ever goes forward", "[config]")
{
    const auto first = applyText(Snapshot {}, regions);
    const auto second = applyText(first, "declare region panay");
    ConfigState state;
    CHECK(valueOf(state.install(second)) == 2);
    CHECK(errorOf(state.install(first)).kind_ == ApplyErrorKind::Stale);
    CHECK(valueOf(state.install(second)) == 2);
    CHECK(errorOf(state.install(first.atRevision(2))).kind_ == ApplyErrorKind::Diverged);
    CHECK(state.snapshot()->stateHash() == second.stateHash());
}
