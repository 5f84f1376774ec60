#include "store/config_follower.h"

#include "base/event_log.h"
#include "store/log_head.h"
#include "store/snapshot_store.h"

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    // A watch that brings nothing is renewed after this time.
    constexpr auto longestWatch = 10s;
    // Pause after a call that the store did not answer.
    constexpr auto retryPause = 500ms;
}

ConfigFollower::ConfigFollower(ObjectStore& store, ConfigState& state)
    : store_(store)
    , state_(state)
{
}

ConfigFollower::~ConfigFollower()
{
    stop();
}

auto ConfigFollower::start() -> void
{
    thread_ = std::thread([this] { run(); });
}

auto ConfigFollower::stop() -> void
{
    stopping_ = true;
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

auto ConfigFollower::followOnce(std::chrono::milliseconds longest) -> bool
{
    const auto watched = store_.watch(std::string(headObjectName), version_, longest);
    const bool answered = isOk(watched) || errorOf(watched).kind_ == StoreErrorKind::NotFound;
    if (reachable_.exchange(answered) != answered)
        logEvent(answered ? EventId::StoreReachable : EventId::StoreUnreachable, "object={}", headObjectName);
    if (!isOk(watched) || !valueOf(watched))
        return answered;
    const auto& object = *valueOf(watched);
    const auto head = decodeLogHead(object.value_);
    if (!isOk(head)) {
        logEvent(EventId::LogCommandUnknown, "message=\"{}\"", errorOf(head).message_);
        return false;
    }
    if (isOk(catchUp(store_, state_, valueOf(head))))
        version_ = object.version_;
    return true;
}

auto ConfigFollower::run() -> void
{
    while (!stopping_) {
        if (followOnce(longestWatch))
            continue;
        std::unique_lock lock(mutex_);
        wake_.wait_for(lock, retryPause, [this] { return stopping_.load(); });
    }
}

} // namespace sapphirepass
