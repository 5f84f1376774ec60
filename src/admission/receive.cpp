#include "admission/receive_func.h"

#include "base/field.h"
#include "base/text_func.h"
#include "base/texts.h"
#include "config/field_table.h"

#include <array>

namespace sapphirepass {

namespace {
    constexpr std::string_view pathPrefix = "/w/";
    constexpr std::string_view bearerPrefix = "Bearer ";
    constexpr std::int64_t maxLength = std::int64_t { 1 } << 40;
    constexpr Bounds deadlineBounds { 1, 3'600'000 };
    constexpr std::size_t maxPathBytes = 4096;

    // Headers that must not be repeated. Repeated headers arrive joined by a comma.
    constexpr std::array<std::string_view, 6> singleHeaders { "Content-Length", "Host", "Authorization", "Idempotency-Key", "Content-Type", deadlineHeader };

    auto badRequest(std::string message) -> Refusal
    {
        return { RefusalKind::BadRequest, std::move(message) };
    }

    auto findHeader(const RequestHead& head, std::string_view name) -> const Header*
    {
        for (const auto& header : head.headers_) {
            if (equalsIgnoreCase(header.name_, name))
                return &header;
        }
        return nullptr;
    }

    // Servers disagree on the meaning of percent-encoded dots, slashes and control characters, dot segments and empty
    // segments, so a path with any of these is refused.
    auto isPlainPath(std::string_view path) -> bool
    {
        if (path.size() > maxPathBytes || containsText(path, "//") || containsText(path, "\\"))
            return false;
        const auto lower = boost::algorithm::to_lower_copy(std::string(path));
        for (const std::string_view sequence : { "%2e", "%2f", "%5c", "%25", "%0", "%1", "%7f" }) {
            if (containsText(lower, sequence))
                return false;
        }
        for (const auto& segment : splitText(path, '/')) {
            if (segment == "." || segment == "..")
                return false;
        }
        return std::all_of(path.begin(), path.end(), [](char c) { return c > ' ' && c < 0x7f; });
    }

    auto checkPath(const RequestHead& head, Request& request) -> std::optional<Refusal>
    {
        const auto refusal = badRequest(std::string(texts::pathInvalid));
        if (!isPlainPath(head.path_) || !head.path_.starts_with(pathPrefix))
            return refusal;
        const auto rest = std::string_view(head.path_).substr(pathPrefix.size());
        const auto slash = rest.find('/');
        if (slash == std::string_view::npos || !isName(rest.substr(0, slash)))
            return refusal;
        request.workspace_ = std::string(rest.substr(0, slash));
        request.path_ = std::string(rest.substr(slash));
        return std::nullopt;
    }

    auto checkHeaders(const RequestHead& head, std::size_t maxBytes) -> std::optional<Refusal>
    {
        std::size_t bytes = head.path_.size() + head.query_.size();
        for (const auto& header : head.headers_)
            bytes += header.name_.size() + header.value_.size();
        if (bytes > maxBytes)
            return Refusal { RefusalKind::HeadersTooLarge, fmt::format(texts::headersTooLarge, maxBytes) };
        for (const auto name : singleHeaders) {
            const auto* header = findHeader(head, name);
            if (header != nullptr && containsText(header->value_, ","))
                return badRequest(fmt::format(texts::headerDuplicate, name));
        }
        return std::nullopt;
    }

    auto hasBody(const std::string& method) -> bool
    {
        return method == "POST" || method == "PUT" || method == "PATCH";
    }

    auto checkLength(const RequestHead& head, Request& request) -> std::optional<Refusal>
    {
        const auto* length = findHeader(head, "Content-Length");
        const auto* encoding = findHeader(head, "Transfer-Encoding");
        if (length != nullptr && encoding != nullptr)
            return badRequest(std::string(texts::lengthAmbiguous));
        if (length == nullptr) {
            if (encoding != nullptr || hasBody(head.method_))
                return Refusal { RefusalKind::LengthRequired, std::string(texts::bodyLengthMissing) };
            return std::nullopt;
        }
        const auto bytes = parseNumber(length->value_, { 0, maxLength });
        if (!bytes || length->value_.starts_with('-'))
            return badRequest(std::string(texts::lengthAmbiguous));
        request.length_ = *bytes;
        return std::nullopt;
    }

    auto checkDeadline(const RequestHead& head, Request& request) -> std::optional<Refusal>
    {
        const auto* header = findHeader(head, deadlineHeader);
        if (header == nullptr)
            return std::nullopt;
        const auto millis = parseNumber(header->value_, deadlineBounds);
        if (!millis)
            return badRequest(std::string(texts::deadlineInvalid));
        request.deadline_ = std::chrono::milliseconds(*millis);
        return std::nullopt;
    }
}

auto receiveRequest(const RequestHead& head, std::size_t maxHeaderBytes, MonotonicTime arrival) -> Result<Request, Refusal>
{
    Request request;
    request.method_ = head.method_;
    request.query_ = head.query_;
    request.headers_ = head.headers_;
    request.arrival_ = arrival;
    if (auto refusal = checkHeaders(head, maxHeaderBytes))
        return *refusal;
    if (auto refusal = checkPath(head, request))
        return *refusal;
    if (auto refusal = checkLength(head, request))
        return *refusal;
    if (auto refusal = checkDeadline(head, request))
        return *refusal;
    const auto* authorization = findHeader(head, "Authorization");
    if (authorization != nullptr && boost::algorithm::istarts_with(authorization->value_, bearerPrefix))
        request.bearer_ = authorization->value_.substr(bearerPrefix.size());
    return request;
}

} // namespace sapphirepass
