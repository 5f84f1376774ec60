// A decision log that tests can look into.
#pragma once

#include "gateway/requests/decision_log.h"

#include <algorithm>
#include <vector>

namespace sapphirepass::standin {

struct KeptLine {
    EventId id_;
    LogFields fields_;
};

class KeptLog final : public DecisionLog {
public:
    auto isSuccessSampled(std::string_view) const -> bool override { return true; }
    auto write(EventId id, LogFields fields) -> void override { lines_.push_back({ id, std::move(fields) }); }

    auto lines() const -> const std::vector<KeptLine>& { return lines_; }
    auto count(EventId id) const -> std::ptrdiff_t
    {
        return std::count_if(lines_.begin(), lines_.end(), [id](const auto& line) { return line.id_ == id; });
    }

private:
    std::vector<KeptLine> lines_;
};

} // namespace sapphirepass::standin
