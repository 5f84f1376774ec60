// Delegation: an instance that cannot reach upstreams has a peer handle a request that it has admitted.
#pragma once

#include "base/result.h"
#include "gateway/declaration/declaration_type.h"
#include "gateway/requests/problem_response.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace sapphirepass {

// What the admitting instance has decided about a request. It is handled by these values, whatever the peer's declaration
// says, and it is never delegated again.
struct Delegation {
    // The admitting instance.
    std::string origin_;
    std::string route_;
    std::string service_;
    std::string workspace_;
    std::vector<std::string> homeRegions_;
    RepeatRule repeat_ = RepeatRule::Once;
    // Sends that are left of the route's attempts.
    int maxAttempts_ = 1;
    Duration timeLeft_ {};
    Duration latencyTarget_ {};
    std::optional<std::uint64_t> object_;
    // 0 is the highest; also the value of instances that name none.
    int priority_ = 0;

    auto operator<=>(const Delegation&) const = default;
};

// What became of a delegated request, beside its response.
struct DelegationOutcome {
    // Set if the peer itself generated the response: whether the request may have run.
    std::optional<Executed> refusal_;
    // The upstream that sent the response otherwise.
    std::string upstream_;
    std::int64_t startTimeMs_ = 0;

    auto operator<=>(const DelegationOutcome&) const = default;
};

struct DelegationError {
    std::string message_;

    auto operator<=>(const DelegationError&) const = default;
};

// Headers between instances. An instance overwrites what a caller or an upstream sends under these names.
inline constexpr std::string_view delegationHeader = "Sapphirepass-Delegation";
inline constexpr std::string_view delegationOutcomeHeader = "Sapphirepass-Delegation-Outcome";

auto encodeDelegation(const Delegation& delegation) -> std::string;
auto decodeDelegation(std::string_view text) -> Result<Delegation, DelegationError>;
auto encodeDelegationOutcome(const DelegationOutcome& outcome) -> std::string;
auto decodeDelegationOutcome(std::string_view text) -> Result<DelegationOutcome, DelegationError>;

} // namespace sapphirepass
