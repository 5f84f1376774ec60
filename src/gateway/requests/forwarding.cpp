#include "gateway/requests/forwarding.h"

#include "base/field.h"

#include <boost/beast/http/rfc7230.hpp>
#include <fmt/format.h>
#include <vector>

namespace sapphirepass {

namespace http = boost::beast::http;

namespace {
    constexpr Duration millisecond = std::chrono::milliseconds(1);
    constexpr Bounds deadlineBounds { 0, 24LL * 60 * 60 * 1'000 };

    auto view(boost::beast::string_view text) -> std::string_view { return { text.data(), text.size() }; }
    auto view(const std::string& text) -> boost::beast::string_view { return { text.data(), text.size() }; }

    auto trimmed(std::string_view text) -> std::string_view
    {
        while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
            text.remove_prefix(1);
        while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
            text.remove_suffix(1);
        return text;
    }

    // Bytes of an invalid header that are logged.
    constexpr std::size_t maxLoggedHeader = 64;

    auto splitFigures(std::string_view text) -> std::vector<std::string_view>
    {
        std::vector<std::string_view> figures;
        for (auto rest = text;;) {
            const auto comma = rest.find(',');
            figures.push_back(trimmed(rest.substr(0, comma)));
            if (comma == std::string_view::npos)
                return figures;
            rest = rest.substr(comma + 1);
        }
    }

    auto readKey(const OutgoingRequest& request, const std::string& scheme) -> std::optional<std::string>
    {
        const auto value = view(request[http::field::authorization]);
        const auto blank = value.find(' ');
        if (blank == std::string_view::npos || !boost::beast::iequals({ value.data(), blank }, view(scheme)))
            return std::nullopt;
        return std::string(trimmed(value.substr(blank)));
    }

    auto readCookie(const OutgoingRequest& request, const std::string& name) -> std::optional<std::string>
    {
        auto rest = view(request[http::field::cookie]);
        while (!rest.empty()) {
            const auto end = rest.find(';');
            const auto pair = trimmed(rest.substr(0, end));
            if (pair.size() > name.size() && pair[name.size()] == '=' && pair.starts_with(name))
                return std::string(pair.substr(name.size() + 1));
            rest = end == std::string_view::npos ? std::string_view() : rest.substr(end + 1);
        }
        return std::nullopt;
    }

    template <typename Fields>
    auto removeHopByHopHeaders(Fields& fields) -> void
    {
        std::vector<std::string> named;
        for (const auto& token : http::token_list(fields[http::field::connection]))
            named.emplace_back(token.data(), token.size());
        for (const auto& name : named)
            fields.erase(view(name));
        for (const auto field : { http::field::connection, http::field::keep_alive, http::field::proxy_connection, http::field::proxy_authenticate, http::field::proxy_authorization, http::field::te, http::field::trailer, http::field::transfer_encoding, http::field::upgrade, http::field::content_length })
            fields.erase(field);
    }
}

auto readMetadata(const OutgoingRequest& request, const HeaderNames& names) -> RequestMetadata
{
    RequestMetadata metadata;
    metadata.attempt_ = std::string(view(request[view(names.attempt_)]));
    if (const auto timeLeft = parseNumber(trimmed(view(request[view(names.deadline_)])), deadlineBounds))
        metadata.deadline_ = millisecond * *timeLeft;
    metadata.key_ = readKey(request, names.keyScheme_);
    metadata.object_ = readCookie(request, names.objectCookie_);
    return metadata;
}

auto forwardedRequest(OutgoingRequest request, const HeaderNames& names, const std::string& workspace) -> OutgoingRequest
{
    auto forwarded = std::move(request);
    forwarded.version(11);
    removeHopByHopHeaders(forwarded);
    forwarded.erase(http::field::authorization);
    forwarded.erase(http::field::expect);
    forwarded.erase(view(names.workspace_));
    forwarded.erase(view(names.expectedUpstream_));
    if (!workspace.empty())
        forwarded.set(view(names.workspace_), workspace);
    if (!forwarded.body().empty() || forwarded.method() == http::verb::post || forwarded.method() == http::verb::put || forwarded.method() == http::verb::patch)
        forwarded.content_length(forwarded.body().size());
    return forwarded;
}

auto addAttemptHeaders(OutgoingRequest& request, const HeaderNames& names, const UpstreamEntry& upstream, Duration timeLeft) -> void
{
    request.set(view(names.expectedUpstream_), upstream.id_);
    request.set(view(names.deadline_), fmt::format("{}", std::max<std::int64_t>(1, timeLeft / millisecond)));
}

auto forwardedResponse(UpstreamResponse response) -> UpstreamResponse
{
    removeHopByHopHeaders(response);
    return response;
}

auto readLoad(const UpstreamResponse& response, const HeaderNames& names) -> LoadHeader
{
    constexpr std::size_t countFigures = 3;
    constexpr std::size_t maxFigures = 4;
    const auto text = view(response[view(names.load_)]);
    if (text.empty())
        return {};
    const auto figures = splitFigures(text);
    LoadHeader invalid { std::nullopt, std::string(text.substr(0, maxLoggedHeader)) };
    if (figures.size() < countFigures || figures.size() > maxFigures)
        return invalid;
    const auto running = parseNumber(figures[0], loadCountBounds);
    const auto waiting = parseNumber(figures[1], loadCountBounds);
    const auto slots = parseNumber(figures[2], loadCountBounds);
    if (!running || !waiting || !slots)
        return invalid;
    ReportedLoad load { static_cast<int>(*running), static_cast<int>(*waiting), static_cast<int>(*slots), std::nullopt };
    if (figures.size() == countFigures)
        return { load, {} };
    const auto percent = parseNumber(figures[countFigures], slowdownPercentBounds);
    if (!percent)
        return { load, invalid.invalid_ };
    load.slowdown_ = static_cast<double>(*percent) / percentPerUnit;
    return { load, {} };
}

} // namespace sapphirepass
