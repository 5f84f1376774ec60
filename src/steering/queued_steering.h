// Lets requests wait, briefly and in fair order, for a slot of their service.
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
    // A request waits no longer than this, and never beyond its deadline.
    std::chrono::milliseconds longestWait_ { 0 };

    auto operator<=>(const QueuePolicy&) const = default;
};

// Asks the inner steering first, unless others already wait for the service. Thread-safe.
class QueuedSteering final : public Steering {
public:
    QueuedSteering(Steering& inner, const Clock& clock, const QueuePolicy& policy);
    ~QueuedSteering() override;
    QueuedSteering(const QueuedSteering&) = delete;
    auto operator=(const QueuedSteering&) -> QueuedSteering& = delete;

    auto acquire(const SteeringRequest& request, Handler handler) -> void override;
    auto release(const Assignment& assignment, CallOutcome outcome) -> void override;
    // Refuses what has waited too long and asks the inner steering again; to be called regularly.
    auto tick() -> void;
    // Calls tick() on a thread of its own.
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
        // One thread at a time asks the inner steering; others leave a note for it.
        bool pumping_ = false;
        bool pumpAgain_ = false;
    };

    struct Candidate {
        QueueEntry entry_;
        Waiter waiter_;
    };

    auto queueFor(const std::string& service) -> ServiceQueue&;
    auto hasWaiters(const std::string& service) const -> bool;
    auto enqueue(const SteeringRequest& request, Handler handler) -> void;
    auto takeWaiter(ServiceQueue& service, std::uint64_t id) -> Waiter;
    auto pump(const std::string& service) -> void;
    auto nextCandidate(const std::string& service) -> std::optional<Candidate>;
    auto tryCandidate(const std::string& service, Candidate candidate) -> bool;
    auto finishPump(const std::string& service) -> bool;

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
