// The platform's object API over HTTP.
//
// GET    /v1/objects/NAME                              200 with ETag, or 404
// GET    /v1/objects/NAME?after=VERSION&wait_ms=N      200 once newer, or 304
// PUT    /v1/objects/NAME  If-Match: VERSION           200 with ETag, 412 or 413; version 0 means absent
// DELETE /v1/objects/NAME  If-Match: VERSION           200 or 412
// GET    /v1/objects?prefix=P                          200, JSON array of names
// GET    /v1/instances                                 200, JSON array of instances
#pragma once

#include "store/object_store.h"

#include <memory>

namespace sapphirepass {

class HttpObjectStore final : public ObjectStore {
public:
    HttpObjectStore(const SocketAddress& address, std::chrono::milliseconds timeout);
    ~HttpObjectStore() override;

    auto read(const std::string& name) -> Result<StoredObject, StoreError> override;
    auto write(const std::string& name, const std::string& value, ObjectVersion expected) -> Result<ObjectVersion, StoreError> override;
    auto remove(const std::string& name, ObjectVersion expected) -> Result<Done, StoreError> override;
    auto watch(const std::string& name, ObjectVersion after, std::chrono::milliseconds longest) -> Result<std::optional<StoredObject>, StoreError> override;
    auto list(const std::string& prefix) -> Result<std::vector<std::string>, StoreError> override;
    auto instances() -> Result<std::vector<PlatformInstance>, StoreError> override;

private:
    class Transport;
    std::unique_ptr<Transport> transport_;
};

} // namespace sapphirepass
