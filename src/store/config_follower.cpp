#include "store/config_follower.h"

#include "base/event_log.h"
#include "store/log_head.h"
#include "store/snapshot_store.h"

namespace sapphirepass {

namespace {
    using namespace std::chrono_literals;

    // A watch that brings nothing is renewed after this time; its answer is evidence of the time it started.
    constexpr auto longestWatch = 3s;
    // Pause after a call that the store did not answer.
    constexpr auto retryPause = 500ms;
    // Until an instance that does not watch asks again whether it should.
    constexpr auto idlePause = 200ms;
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
    const auto started = observer_ == nullptr ? MonotonicTime {} : observer_->callStarts();
    const auto watched = store_.watch(std::string(headObjectName), version_, longest);
    const bool answered = isOk(watched) || errorOf(watched).kind_ == StoreErrorKind::NotFound;
    if (reachable_.exchange(answered) != answered)
        logEvent(answered ? EventId::StoreReachable : EventId::StoreUnreachable, "object={}", headObjectName);
    if (!isOk(watched) || !valueOf(watched)) {
        if (answered && observer_ != nullptr)
            observer_->storeAnswered(started, std::nullopt);
        return answered;
    }
    const auto& object = *valueOf(watched);
    const auto head = decodeLogHead(object.value_);
    if (!isOk(head)) {
        logEvent(EventId::LogCommandUnknown, "message=\"{}\"", errorOf(head).message_);
        return false;
    }
    const bool followed = isOk(catchUp(store_, state_, valueOf(head)));
    if (followed)
        version_ = object.version_;
    if (observer_ != nullptr)
        observer_->storeAnswered(started, valueOf(head));
    return followed;
}

auto ConfigFollower::run() -> void
{
    // A new instance reads once, whoever watches.
    bool hasRead = false;
    while (!stopping_) {
        if (hasRead && observer_ != nullptr && !observer_->shouldWatch())
            pause(idlePause);
        else if (followOnce(longestWatch))
            hasRead = true;
        else
            pause(retryPause);
    }
}

auto ConfigFollower::pause(std::chrono::milliseconds time) -> void
{
    std::unique_lock lock(mutex_);
    wake_.wait_for(lock, time, [this] { return stopping_.load(); });
}

} // namespace sapphirepass
