// Serves the feeds of an instance to those that follow it.
#pragma once

#include "loop/caller_listener.h"
#include "platform/store_source.h"

namespace sapphirepass::standin {

class PeerPages final : public CallerHandler {
public:
    explicit PeerPages(platform::StoreSource& source)
        : source_(source)
    {
    }
    auto handle(HttpRequest request, Answer answer) -> std::shared_ptr<RunningRequest> override
    {
        ++asked_;
        lists_ += request.target().find("watch=") == std::string_view::npos ? 1 : 0;
        return source_.answerPeer(request, std::move(answer));
    }
    auto limits() const -> CallerLimits override { return {}; }
    auto isClosing() const -> bool override { return false; }
    auto responseWritten(const WrittenResponse& response) -> void override { bytes_ += response.bytes_; }

    int asked_ = 0;
    int lists_ = 0;
    // Of all responses that were written.
    std::size_t bytes_ = 0;

private:
    platform::StoreSource& source_;
};

} // namespace sapphirepass::standin
