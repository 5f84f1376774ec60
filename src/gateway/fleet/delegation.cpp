#include "gateway/fleet/delegation.h"

#include <nlohmann/json.hpp>

namespace sapphirepass {

namespace {
    using Json = nlohmann::json;

    constexpr Duration millisecond = std::chrono::milliseconds(1);
    constexpr int maxTimeMs = 24 * 60 * 60 * 1'000;
    constexpr int maxAttemptsLimit = 100;

    auto readTime(const Json& object, const char* name) -> Duration
    {
        const auto milliseconds = object.at(name).get<std::int64_t>();
        if (milliseconds < 0 || milliseconds > maxTimeMs)
            throw std::out_of_range(name);
        return millisecond * milliseconds;
    }

    auto readDelegation(const Json& object) -> Delegation
    {
        Delegation delegation;
        delegation.origin_ = object.at("origin").get<std::string>();
        delegation.route_ = object.at("route").get<std::string>();
        delegation.service_ = object.at("service").get<std::string>();
        delegation.workspace_ = object.at("workspace").get<std::string>();
        delegation.homeRegions_ = object.at("homes").get<std::vector<std::string>>();
        delegation.repeat_ = object.at("idempotent").get<bool>() ? RepeatRule::Idempotent : RepeatRule::Once;
        delegation.maxAttempts_ = object.at("attempts").get<int>();
        if (delegation.maxAttempts_ < 1 || delegation.maxAttempts_ > maxAttemptsLimit)
            throw std::out_of_range("attempts");
        delegation.timeLeft_ = readTime(object, "left_ms");
        delegation.latencyTarget_ = readTime(object, "target_ms");
        delegation.priority_ = object.value("priority", 0);
        if (object.contains("object"))
            delegation.object_ = object.at("object").get<std::uint64_t>();
        return delegation;
    }

    auto readOutcome(const Json& object) -> DelegationOutcome
    {
        DelegationOutcome outcome;
        if (object.contains("executed"))
            outcome.refusal_ = object.at("executed").get<std::string>() == "no" ? Executed::No : Executed::Unknown;
        else
            outcome.upstream_ = object.at("upstream").get<std::string>();
        outcome.startTimeMs_ = object.value("started", std::int64_t { 0 });
        return outcome;
    }

    template <typename T>
    auto decode(std::string_view text, T (*read)(const Json&)) -> Result<T, DelegationError>
    {
        try {
            return read(Json::parse(text));
        } catch (const std::exception& exception) {
            return DelegationError { exception.what() };
        }
    }
}

auto encodeDelegation(const Delegation& delegation) -> std::string
{
    Json object { { "origin", delegation.origin_ }, { "route", delegation.route_ }, { "service", delegation.service_ }, { "workspace", delegation.workspace_ }, { "homes", delegation.homeRegions_ }, { "idempotent", delegation.repeat_ == RepeatRule::Idempotent }, { "attempts", delegation.maxAttempts_ }, { "left_ms", delegation.timeLeft_ / millisecond }, { "target_ms", delegation.latencyTarget_ / millisecond }, { "priority", delegation.priority_ } };
    if (delegation.object_)
        object["object"] = *delegation.object_;
    // Header values are ASCII.
    return object.dump(-1, ' ', true);
}

auto decodeDelegation(std::string_view text) -> Result<Delegation, DelegationError>
{
    return decode(text, readDelegation);
}

auto encodeDelegationOutcome(const DelegationOutcome& outcome) -> std::string
{
    Json object = Json::object();
    if (outcome.refusal_)
        object["executed"] = *outcome.refusal_ == Executed::No ? "no" : "unknown";
    else
        object = { { "upstream", outcome.upstream_ }, { "started", outcome.startTimeMs_ } };
    return object.dump(-1, ' ', true);
}

auto decodeDelegationOutcome(std::string_view text) -> Result<DelegationOutcome, DelegationError>
{
    return decode(text, readOutcome);
}

} // namespace sapphirepass
