// What operators have commanded, read from the audit trail: show commands.
#pragma once

#include "language/query.h"
#include "store/object_store.h"

namespace sapphirepass {

// Reads the store at each query: the head and the newest pages. Conditions on revision with <, <= or = reach older pages.
class CommandTrail final : public RowSource {
public:
    explicit CommandTrail(ObjectStore& store);

    auto subject() const -> std::string override { return "commands"; }
    auto rows() const -> Rows override;
    auto rowsFor(const QueryStatement& query) const -> Result<Rows, std::string> override;

private:
    ObjectStore& store_;
};

} // namespace sapphirepass
