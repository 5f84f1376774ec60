#include "config/kind_func.h"
#include "config/reference_type.h"

namespace sapphirepass {

namespace {
    auto refersTo(const Region&) -> std::vector<Reference> { return {}; }
    auto refersTo(const FailureDomain& item) -> std::vector<Reference> { return { { "region", item.region_ } }; }
    auto refersTo(const Link& item) -> std::vector<Reference> { return { { "region", item.from_ }, { "region", item.to_ } }; }
    auto refersTo(const Workspace&) -> std::vector<Reference> { return {}; }
    auto refersTo(const Key& item) -> std::vector<Reference> { return { { "workspace", item.workspace_ } }; }
    auto refersTo(const WithdrawnKey&) -> std::vector<Reference> { return {}; }
    auto refersTo(const Upstream& item) -> std::vector<Reference> { return { { "domain", item.domain_ } }; }
    auto refersTo(const Route&) -> std::vector<Reference> { return {}; }
    auto refersTo(const Move& item) -> std::vector<Reference> { return { { "region", item.from_ }, { "region", item.to_ } }; }
    auto refersTo(const ClientBlock& item) -> std::vector<Reference> { return { { "region", item.region_ } }; }
}

auto referencesOf(const Item& item) -> std::vector<Reference>
{
    return std::visit([](const auto& alternative) { return refersTo(alternative); }, item);
}

auto isDeclared(const Snapshot& snapshot, const Reference& reference) -> bool
{
    bool declared = false;
    withKind(reference.kind_, [&]<typename T>(std::type_identity<T>) {
        declared = snapshot.find<T>(reference.name_) != nullptr;
    });
    return declared;
}

auto usersOf(const Snapshot& snapshot, const Reference& used) -> std::vector<Reference>
{
    std::vector<Reference> users;
    forEachKind([&]<typename T>(std::type_identity<T>) {
        snapshot.table<T>().forEach([&](const T& item) {
            for (const auto& reference : refersTo(item)) {
                if (reference == used) {
                    users.push_back({ std::string(kindName<T>()), item.name_ });
                    return;
                }
            }
        });
    });
    return users;
}

} // namespace sapphirepass
