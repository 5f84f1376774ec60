#include "loop/line_log.h"

#include "base/event_log.h"
#include "base/time_format.h"
#include "gateway/hashing.h"

#include <algorithm>
#include <cerrno>
#include <climits>
#include <fmt/format.h>
#include <poll.h>
#include <unistd.h>

namespace sapphirepass {

namespace {
    // Buffered lines that are written without waiting for the next flush.
    constexpr std::size_t flushBytes = 8 * 1024;
    // Seconds of the bound that may come at once.
    constexpr double burstSeconds = 2;

    auto isWritable(int handle) -> bool
    {
        pollfd entry { handle, POLLOUT, 0 };
        return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
    }
}

LineLog::LineLog(const Clock& clock, int handle, LineLogBounds bounds, std::string instance)
    : clock_(clock)
    , handle_(handle)
    , bounds_(bounds)
    , instance_(std::move(instance))
    , bytes_(nullptr)
    , allowance_(bounds.bytesPerSecond_ * burstSeconds)
    , filledAt_(clock.now())
{
    buffer_.reserve(bounds_.bufferBytes_);
    bytes_ = buffer_.data();
}

auto LineLog::isSuccessSampled(std::string_view requestId) const -> bool
{
    return stableHash(requestId) % bounds_.successSample_ == 0;
}

auto LineLog::write(EventId id, LogFields fields) -> void
{
    const auto now = clock_.now();
    const double elapsed = inSeconds(now - filledAt_);
    filledAt_ = now;
    allowance_ = std::min(bounds_.bytesPerSecond_ * burstSeconds, allowance_ + elapsed * bounds_.bytesPerSecond_);
    if (!append(id, fields)) {
        ++dropped_;
        return;
    }
    if (dropped_ > toldDropped_ && append(EventId::LogLinesDropped, { { "lines", dropped_ - toldDropped_ } }))
        toldDropped_ = dropped_;
    if (buffer_.size() >= flushBytes)
        flush();
}

auto LineLog::append(EventId id, const LogFields& fields) -> bool
{
    const auto& event = describeEvent(id);
    LogFields line { { "time", formatWallTime(clock_.wallNow()) }, { "level", logLevelName(event.level_) }, { "event", static_cast<int>(id) }, { "name", event.name_ }, { "instance", instance_ } };
    line.update(fields);
    const auto text = line.dump(-1, ' ', false, LogFields::error_handler_t::replace) + "\n";
    const auto size = static_cast<double>(text.size());
    if (allowance_ < size || buffer_.size() + text.size() > bounds_.bufferBytes_)
        return false;
    allowance_ -= size;
    buffer_ += text;
    pendingBytes_ = buffer_.size();
    return true;
}

// A handle that polls writable takes PIPE_BUF bytes without blocking.
auto LineLog::flush() -> void
{
    std::size_t written = 0;
    while (written < buffer_.size() && isWritable(handle_)) {
        const auto count = ::write(handle_, buffer_.data() + written, std::min<std::size_t>(PIPE_BUF, buffer_.size() - written));
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    if (written == 0)
        return;
    pendingBytes_ = 0;
    buffer_.erase(0, written);
    pendingBytes_ = buffer_.size();
}

} // namespace sapphirepass
