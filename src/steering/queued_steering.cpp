#include "steering/queued_steering.h"

#include "base/texts.h"

#include <algorithm>
#include <atomic>

namespace sapphirepass {

namespace {
    constexpr std::chrono::milliseconds tickInterval { 10 };
    constexpr std::chrono::milliseconds overloadRetryAfter { 1'000 };

    auto overloaded() -> Refusal
    {
        return { RefusalKind::Overloaded, std::string(texts::noUpstream), Executed::No, overloadRetryAfter };
    }

    auto isOverloaded(const Result<Assignment, Refusal>& result) -> bool
    {
        return !isOk(result) && errorOf(result).kind_ == RefusalKind::Overloaded;
    }

    auto weightOf(const SteeringRequest& request) -> std::int64_t
    {
        const auto* workspace = request.snapshot_->find<Workspace>(request.workspace_);
        return workspace == nullptr ? 1 : workspace->rate_;
    }
}

QueuedSteering::QueuedSteering(Steering& inner, const Clock& clock, const QueuePolicy& policy)
    : inner_(inner)
    , clock_(clock)
    , policy_(policy)
{
}

QueuedSteering::~QueuedSteering()
{
    stop();
}

auto QueuedSteering::start() -> void
{
    thread_ = std::thread([this] {
        std::unique_lock lock(mutex_);
        while (!stopping_) {
            lock.unlock();
            tick();
            lock.lock();
            wake_.wait_for(lock, tickInterval, [this] { return stopping_; });
        }
    });
}

auto QueuedSteering::stop() -> void
{
    {
        const std::lock_guard lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (thread_.joinable())
        thread_.join();
}

auto QueuedSteering::waiting() const -> std::size_t
{
    const std::lock_guard lock(mutex_);
    std::size_t count = 0;
    for (const auto& [name, service] : services_)
        count += service.waiters_.size();
    return count;
}

auto QueuedSteering::queueFor(const std::string& service) -> ServiceQueue&
{
    return services_.try_emplace(service, policy_.bounds_).first->second;
}

auto QueuedSteering::hasWaiters(const std::string& service) const -> bool
{
    const std::lock_guard lock(mutex_);
    const auto found = services_.find(service);
    return found != services_.end() && !found->second.waiters_.empty();
}

auto QueuedSteering::acquire(const SteeringRequest& request, Handler handler) -> void
{
    // New requests do not overtake waiting ones.
    if (hasWaiters(request.service_)) {
        enqueue(request, std::move(handler));
        return;
    }
    inner_.acquire(request, [this, request, handler = std::move(handler)](const Result<Assignment, Refusal>& result) {
        if (isOverloaded(result))
            enqueue(request, handler);
        else
            handler(result);
    });
}

auto QueuedSteering::enqueue(const SteeringRequest& request, Handler handler) -> void
{
    Handler refused;
    {
        const std::lock_guard lock(mutex_);
        auto& service = queueFor(request.service_);
        const auto now = clock_.now();
        const auto expiry = std::min(request.deadline_, now + Duration(policy_.maxWait_));
        const QueueEntry entry { ++lastId_, request.workspace_, weightOf(request), now, expiry };
        const auto pushed = service.queue_.push(entry);
        if (!isOk(pushed)) {
            refused = std::move(handler);
        } else {
            auto& waiter = service.waiters_.emplace(entry.id_, Waiter { request, std::move(handler) }).first->second;
            // An upstream that shed the request may have a free slot by the time the request is dispatched.
            waiter.request_.tried_.clear();
            if (valueOf(pushed))
                refused = takeWaiter(service, valueOf(pushed)->id_).handler_;
        }
    }
    if (refused)
        refused(overloaded());
    // A slot may have become free since the inner steering refused the request.
    dispatch(request.service_);
}

auto QueuedSteering::takeWaiter(ServiceQueue& service, std::uint64_t id) -> Waiter
{
    auto node = service.waiters_.extract(id);
    return std::move(node.mapped());
}

auto QueuedSteering::release(const Assignment& assignment, CallOutcome outcome) -> void
{
    inner_.release(assignment, outcome);
    dispatch(assignment.upstream_.service_);
}

auto QueuedSteering::nextCandidate(const std::string& name) -> std::optional<Candidate>
{
    const std::lock_guard lock(mutex_);
    auto& service = queueFor(name);
    const auto entry = service.queue_.pop();
    if (!entry)
        return std::nullopt;
    return Candidate { *entry, takeWaiter(service, entry->id_) };
}

// Returns whether the candidate's handler was called; otherwise it is back at the head of the queue.
auto QueuedSteering::tryCandidate(const std::string& name, Candidate candidate) -> bool
{
    auto settled = std::make_shared<std::atomic<bool>>(true);
    auto shared = std::make_shared<Candidate>(std::move(candidate));
    inner_.acquire(shared->waiter_.request_, [this, name, settled, shared](const Result<Assignment, Refusal>& result) {
        if (!isOverloaded(result)) {
            shared->waiter_.handler_(result);
            return;
        }
        const std::lock_guard lock(mutex_);
        auto& service = queueFor(name);
        service.queue_.putBack(shared->entry_);
        service.waiters_.emplace(shared->entry_.id_, std::move(shared->waiter_));
        *settled = false;
    });
    return *settled;
}

auto QueuedSteering::finishDispatch(const std::string& name) -> bool
{
    const std::lock_guard lock(mutex_);
    auto& service = queueFor(name);
    if (service.dispatchAgain_) {
        service.dispatchAgain_ = false;
        return false;
    }
    service.dispatching_ = false;
    return true;
}

auto QueuedSteering::dispatch(const std::string& name) -> void
{
    {
        const std::lock_guard lock(mutex_);
        auto& service = queueFor(name);
        if (service.dispatching_) {
            service.dispatchAgain_ = true;
            return;
        }
        service.dispatching_ = true;
    }
    do {
        auto candidate = nextCandidate(name);
        while (candidate && tryCandidate(name, std::move(*candidate)))
            candidate = nextCandidate(name);
    } while (!finishDispatch(name));
}

auto QueuedSteering::tick() -> void
{
    std::vector<Handler> refused;
    std::vector<std::string> busy;
    {
        const std::lock_guard lock(mutex_);
        const auto now = clock_.now();
        for (auto& [name, service] : services_) {
            for (const auto& entry : service.queue_.removeExpired(now))
                refused.push_back(takeWaiter(service, entry.id_).handler_);
            if (!service.waiters_.empty())
                busy.push_back(name);
        }
    }
    for (const auto& handler : refused)
        handler(overloaded());
    for (const auto& name : busy)
        dispatch(name);
}

} // namespace sapphirepass
