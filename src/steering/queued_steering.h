// Queues requests for a short time, in fair order, until a slot of their service is free.
#pragma once

#include "admission/fair_queue.h"
#include "base/clock.h"
#include "steering/steering.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <thread>

namespace sapphirepass {

struct QueuePolicy {
    QueueBounds bounds_;
    // Upper bound of a request's time in the queue; its deadline may shorten it.
    std::chrono::milliseconds maxWait_ { 0 };

    auto operator<=>(const QueuePolicy&) const = default;
};

// Decorates another steering: requests that it refuses as overloaded are queued, and so are those that find
// others waiting for the same service. Thread-safe.
class QueuedSteering final : public Steering {
public:
    QueuedSteering(Steering& inner, const Clock& clock, const QueuePolicy& policy);
    ~QueuedSteering() override;
    QueuedSteering(const QueuedSteering&) = delete;
    auto operator=(const QueuedSteering&) -> QueuedSteering& = delete;

    auto acquire(const SteeringRequest& request, Handler handler) -> void override;
    auto release(const Assignment& assignment, CallOutcome outcome) -> void override;
    // Refuses expired requests and retries the others with the inner steering; to be called periodically.
    auto tick() -> void;
    // Calls tick() periodically on a thread of its own.
    auto start() -> void;
    auto stop() -> void;
    auto waiting() const -> std::size_t;

private:
    struct Waiter {
        SteeringRequest request_;
        Handler handler_;
    };

    // The requests that wait for one service.
    struct ServiceQueue {
        explicit ServiceQueue(const QueueBounds& bounds)
            : queue_(bounds)
        {
        }

        FairQueue queue_;
        std::map<std::uint64_t, Waiter> waiters_;
        // One thread at a time dispatches; others set dispatchAgain_ to have it run another round.
        bool dispatching_ = false;
        bool dispatchAgain_ = false;
    };

    struct Candidate {
        QueueEntry entry_;
        Waiter waiter_;
    };

    auto queueFor(const std::string& service) -> ServiceQueue&;
    auto hasWaiters(const std::string& service) const -> bool;
    auto enqueue(const SteeringRequest& request, Handler handler) -> void;
    auto takeWaiter(ServiceQueue& service, std::uint64_t id) -> Waiter;
    auto dispatch(const std::string& service) -> void;
    auto nextCandidate(const std::string& service) -> std::optional<Candidate>;
    auto tryCandidate(const std::string& service, Candidate candidate) -> bool;
    auto finishDispatch(const std::string& service) -> bool;

    Steering& inner_;
    const Clock& clock_;
    QueuePolicy policy_;
    mutable std::mutex mutex_;
    std::condition_variable wake_;
    std::map<std::string, ServiceQueue> services_;
    std::uint64_t lastId_ = 0;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace sapphirepass
