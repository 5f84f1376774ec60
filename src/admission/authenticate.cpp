#include "admission/authenticate_func.h"

#include "base/texts.h"
#include "config/key_func.h"

#include <algorithm>
#include <fmt/format.h>

namespace sapphirepass {

namespace {
    auto repeatabilityOf(const Route& route, std::string_view method) -> Repeatability
    {
        const bool safe = method == "GET" || method == "HEAD" || method == "OPTIONS";
        const bool byMethod = route.repeat_ == RouteRepeat::Method && safe;
        return byMethod || route.repeat_ == RouteRepeat::Idempotent ? Repeatability::Idempotent : Repeatability::Once;
    }

    auto deadlineOf(const Route& route, const Request& request) -> MonotonicTime
    {
        const auto allowed = std::min(route.deadline_, request.deadline_.value_or(route.deadline_));
        return request.arrival_ + allowed;
    }

    auto unauthorized(std::string_view message) -> Refusal
    {
        return { RefusalKind::Unauthorized, std::string(message) };
    }
}

auto matchRoute(const Snapshot& snapshot, std::string_view path) -> const Route*
{
    const Route* best = nullptr;
    snapshot.table<Route>().forEach([&](const Route& route) {
        const auto& prefix = route.path_;
        const bool matches = path.starts_with(prefix) && (path.size() == prefix.size() || prefix.ends_with('/') || path[prefix.size()] == '/');
        if (matches && (best == nullptr || prefix.size() > best->path_.size()))
            best = &route;
    });
    return best;
}

auto authenticate(const Snapshot& snapshot, const Request& request) -> Result<Grant, Refusal>
{
    const auto* route = matchRoute(snapshot, request.path_);
    if (route == nullptr)
        return Refusal { RefusalKind::NotFound, std::string(texts::routeUnknown) };
    Grant grant;
    if (route->access_ == RouteAccess::Keyed) {
        if (request.bearer_.empty())
            return unauthorized(texts::keyMissing);
        const auto presented = parsePresentedKey(request.bearer_);
        const auto* key = presented ? snapshot.find<Key>(presented->name_) : nullptr;
        if (key == nullptr || !matchesKey(*key, presented->secret_))
            return unauthorized(texts::keyUnknown);
        if (key->workspace_ != request.workspace_)
            return Refusal { RefusalKind::Forbidden, fmt::format(texts::keyOfOtherWorkspace, request.workspace_) };
        grant.key_ = key->name_;
    }
    const auto* workspace = snapshot.find<Workspace>(request.workspace_);
    if (workspace == nullptr)
        return Refusal { RefusalKind::NotFound, fmt::format(texts::workspaceUnknown, request.workspace_) };
    if (request.length_ > route->size_)
        return Refusal { RefusalKind::BodyTooLarge, fmt::format(texts::bodyTooLarge, route->size_) };
    grant.route_ = *route;
    grant.workspace_ = *workspace;
    grant.repeatability_ = repeatabilityOf(*route, request.method_);
    grant.deadline_ = deadlineOf(*route, request);
    return grant;
}

auto isKeyStillValid(const Snapshot& snapshot, const Grant& grant) -> bool
{
    if (grant.key_.empty())
        return true;
    const auto* key = snapshot.find<Key>(grant.key_);
    return key != nullptr && key->workspace_ == grant.workspace_.name_;
}

} // namespace sapphirepass
