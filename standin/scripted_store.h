// Passes calls on to another store and gives each call the fate that a script chooses.
#pragma once

#include "store/object_store.h"

#include <functional>
#include <map>

namespace sapphirepass::standin {

enum class CallFate {
    Normal,
    // Not passed on.
    Refused,
    // Passed on, but the answer is lost.
    AnswerLost,
    // A read answers what the first read of that object answered; other calls are normal.
    Stale,
};

class ScriptedStore final : public ObjectStore {
public:
    // Gets the number of the call, from 0; may block to hold the call back.
    using Script = std::function<CallFate(int)>;

    ScriptedStore(ObjectStore& store, Script script)
        : store_(store)
        , script_(std::move(script))
    {
    }

    auto read(const std::string& name) -> Result<StoredObject, StoreError> override
    {
        return pass<StoredObject>([&] {
            const auto answer = store_.read(name);
            const auto first = firstReads_.emplace(name, answer).first;
            return fate_ == CallFate::Stale ? first->second : answer;
        });
    }

    auto write(const std::string& name, const std::string& value, ObjectVersion expected) -> Result<ObjectVersion, StoreError> override
    {
        return pass<ObjectVersion>([&] { return store_.write(name, value, expected); });
    }

    auto remove(const std::string& name, ObjectVersion expected) -> Result<Done, StoreError> override
    {
        return pass<Done>([&] { return store_.remove(name, expected); });
    }

    auto watch(const std::string& name, ObjectVersion after, std::chrono::milliseconds longest) -> Result<std::optional<StoredObject>, StoreError> override
    {
        return pass<std::optional<StoredObject>>([&] { return store_.watch(name, after, longest); });
    }

    auto list(const std::string& prefix) -> Result<std::vector<std::string>, StoreError> override
    {
        return pass<std::vector<std::string>>([&] { return store_.list(prefix); });
    }

    auto instances() -> Result<std::vector<PlatformInstance>, StoreError> override
    {
        return pass<std::vector<PlatformInstance>>([&] { return store_.instances(); });
    }

    auto calls() const -> int { return calls_; }

private:
    template <typename T, typename Call>
    auto pass(Call call) -> Result<T, StoreError>
    {
        fate_ = script_(calls_++);
        const auto fate = fate_;
        if (fate == CallFate::Refused)
            return StoreError { StoreErrorKind::Unreachable, "the script refuses this call" };
        auto answer = call();
        if (fate == CallFate::AnswerLost)
            return StoreError { StoreErrorKind::AnswerLost, "the script loses this answer" };
        return answer;
    }

    ObjectStore& store_;
    Script script_;
    int calls_ = 0;
    CallFate fate_ = CallFate::Normal;
    std::map<std::string, Result<StoredObject, StoreError>> firstReads_;
};

} // namespace sapphirepass::standin
