// A process that ends by a signal logs its cause and its stack.
#include "loop/fatal_signal.h"
#include "loop/run_gateway.h"

#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <dlfcn.h>
#include <fcntl.h>
#include <functional>
#include <poll.h>
#include <sstream>
#include <stdexcept>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

using namespace sapphirepass;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

constexpr Duration endLimit = 20s;
// Far more than the code of one of the functions below.
constexpr std::uint64_t functionBytes = 512;

constexpr rlim_t stackBytes = 8 * 1024 * 1024;

struct EndedProcess {
    int status_ = 0;
    std::vector<std::string> lines_;
};

// noexcept: an exception must not reach the handlers of the test framework.
auto childMain(int output, const std::function<void()>& work) noexcept -> void
{
    const rlimit noCore { 0, 0 };
    ::setrlimit(RLIMIT_CORE, &noCore);
    rlimit stack {};
    ::getrlimit(RLIMIT_STACK, &stack);
    stack.rlim_cur = std::min<rlim_t>(stack.rlim_max, stackBytes);
    ::setrlimit(RLIMIT_STACK, &stack);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(::open("/dev/null", O_WRONLY | O_CLOEXEC), STDERR_FILENO);
    work();
    ::_exit(0);
}

auto readLines(int input) -> std::vector<std::string>
{
    std::string text;
    std::array<char, 4096> part {};
    for (auto count = ::read(input, part.data(), part.size()); count > 0; count = ::read(input, part.data(), part.size()))
        text.append(part.data(), static_cast<std::size_t>(count));
    CHECK((text.empty() || text.back() == '\n'));
    std::istringstream stream(text);
    std::vector<std::string> lines;
    for (std::string line; std::getline(stream, line);)
        lines.push_back(line);
    return lines;
}

auto awaitEnd(pid_t child) -> int
{
    int status = 0;
    const auto limit = std::chrono::steady_clock::now() + endLimit;
    while (::waitpid(child, &status, WNOHANG) == 0) {
        if (std::chrono::steady_clock::now() > limit) {
            ::kill(child, SIGKILL);
            ::waitpid(child, &status, 0);
            FAIL("the process did not end");
        }
        ::poll(nullptr, 0, 5);
    }
    return status;
}

auto runProcess(const std::function<void()>& work) -> EndedProcess
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0)
        childMain(ends[1], work);
    ::close(ends[1]);
    EndedProcess ended;
    ended.lines_ = readLines(ends[0]);
    ::close(ends[0]);
    ended.status_ = awaitEnd(child);
    return ended;
}

[[gnu::noinline]] auto readNull() -> void
{
    volatile int* volatile nothing = nullptr;
    [[maybe_unused]] const int value = *nothing;
}

[[gnu::noinline]] auto callNull() -> void
{
    void (*volatile nothing)() = nullptr;
    nothing();
    // Not the last instruction: otherwise the call could be a jump.
    [[maybe_unused]] volatile int after = 0;
}

template <std::size_t size>
[[gnu::noinline]] auto recurse(volatile int* depth) -> int
{
    std::array<volatile int, size> own {};
    own[0] = *depth + 1;
    // Never true, which the compiler cannot know.
    if (own[0] < 0)
        return 0;
    return recurse<size>(own.data()) + own[0];
}

template <std::size_t size>
[[gnu::noinline]] auto overflowStack() -> void
{
    volatile int depth = 0;
    depth = recurse<size>(&depth);
}

constexpr std::size_t usualFrame = 64;
constexpr std::size_t smallFrame = 4;

[[gnu::noinline]] auto throwUncaught() -> void
{
    throw std::runtime_error("of \"a\" test");
}

[[gnu::noinline]] auto abortProcess() -> void
{
    std::abort();
}

[[gnu::noinline]] auto raiseBusError() -> void
{
    [[maybe_unused]] volatile const int result = std::raise(SIGBUS);
}

// What a frame of this function has in the log: an offset into the module, from which addr2line finds the line.
auto isFrameOf(const std::string& frame, void (*function)()) -> bool
{
    Dl_info found {};
    const auto address = reinterpret_cast<std::uint64_t>(function);
    REQUIRE(::dladdr(reinterpret_cast<void*>(function), &found) != 0);
    const auto mark = frame.find("+0x");
    if (mark == std::string::npos)
        return false;
    const auto offset = std::stoull(frame.substr(mark + 3), nullptr, 16);
    const auto start = address - reinterpret_cast<std::uint64_t>(found.dli_fbase);
    return frame.substr(0, mark) == program_invocation_short_name && offset >= start && offset < start + functionBytes;
}

auto hasFrameOf(const Json& frames, void (*function)()) -> bool
{
    return std::any_of(frames.begin(), frames.end(), [function](const Json& frame) { return isFrameOf(frame.get<std::string>(), function); });
}

auto crash(void (*work)()) -> EndedProcess
{
    return runProcess([work] {
        FatalSignalLog::install(STDOUT_FILENO, "front-\"a\"");
        work();
    });
}

auto requireLine(const EndedProcess& ended, int number, const std::string& name) -> Json
{
    REQUIRE(WIFSIGNALED(ended.status_));
    CHECK(WTERMSIG(ended.status_) == number);
    REQUIRE(ended.lines_.size() == 1);
    CAPTURE(ended.lines_.front());
    auto line = Json::parse(ended.lines_.front());
    CHECK(line.at("level") == "error");
    CHECK(line.at("event") == 118);
    CHECK(line.at("name") == "fatal-signal");
    CHECK(line.at("instance") == "front-\"a\"");
    CHECK(line.at("time").get<std::string>().size() == std::string("2026-12-05T07:00:00.000Z").size());
    CHECK(line.at("signal") == number);
    CHECK(line.at("signal_name") == name);
    return line;
}

struct Crash {
    void (*work_)();
    int signal_;
    const char* name_;
    bool hasAddress_;
};

}

TEST_CASE("a process that ends by a signal logs the signal and the stack", "[fatal-signal]")
{
    const auto given = GENERATE(Crash { readNull, SIGSEGV, "SIGSEGV", true }, Crash { abortProcess, SIGABRT, "SIGABRT", false }, Crash { throwUncaught, SIGABRT, "SIGABRT", false }, Crash { raiseBusError, SIGBUS, "SIGBUS", false });
    CAPTURE(given.name_);
    const auto line = requireLine(crash(given.work_), given.signal_, given.name_);
    CHECK(line.contains("address") == given.hasAddress_);
    CHECK(line.at("stack_overflow") == false);
    CHECK(line.at("frames").get<std::size_t>() >= 3);
    CHECK(line.at("stack").size() >= 3);
    CHECK(hasFrameOf(line.at("stack"), given.work_));
}

TEST_CASE("the line of an uncaught exception has its text", "[fatal-signal]")
{
    const auto line = requireLine(crash(throwUncaught), SIGABRT, "SIGABRT");
    CHECK(line.at("exception") == "of \"a\" test");
}

TEST_CASE("a stack overflow is logged with the innermost and the outermost frames", "[fatal-signal]")
{
    const auto line = requireLine(crash(overflowStack<usualFrame>), SIGSEGV, "SIGSEGV");
    CHECK(line.at("stack_overflow") == true);
    CHECK(line.at("frames").get<std::size_t>() > 10'000);
    CHECK(line.at("frames_cut") == false);
    const auto recursion = reinterpret_cast<void (*)()>(recurse<usualFrame>);
    CHECK(hasFrameOf(line.at("stack"), recursion));
    CHECK_FALSE(hasFrameOf(line.at("stack"), overflowStack<usualFrame>));
    CHECK(hasFrameOf(line.at("outermost"), overflowStack<usualFrame>));
}

// Frames with the red zones of the address sanitizer are larger, so that fewer fit on the stack.
#ifndef __SANITIZE_ADDRESS__
TEST_CASE("a stack with more frames than are read is logged as cut", "[fatal-signal]")
{
    const auto line = requireLine(crash(overflowStack<smallFrame>), SIGSEGV, "SIGSEGV");
    CHECK(line.at("stack_overflow") == true);
    CHECK(line.at("frames_cut") == true);
    CHECK(hasFrameOf(line.at("stack"), reinterpret_cast<void (*)()>(recurse<smallFrame>)));
    CHECK(line.at("outermost").empty());
}
#endif

TEST_CASE("a call of a null pointer is logged with its caller", "[fatal-signal]")
{
    const auto line = requireLine(crash(callNull), SIGSEGV, "SIGSEGV");
    CHECK(line.at("stack").at(0) == "0x0");
    CHECK(hasFrameOf(line.at("stack"), callNull));
}

TEST_CASE("a signal from another process is logged and ends the process", "[fatal-signal]")
{
    const auto ended = crash([] { ::kill(::getpid(), SIGSEGV); });
    CHECK_FALSE(requireLine(ended, SIGSEGV, "SIGSEGV").contains("address"));
}

TEST_CASE("lines that were not yet written come before the line of the signal", "[fatal-signal]")
{
    const auto ended = runProcess([] {
        const SystemClock clock;
        FatalSignalLog::install(STDOUT_FILENO, "front-a");
        LineLog log(clock, STDOUT_FILENO, {}, "front-a");
        const FatalSignalPendingLines lines(log);
        log.write(EventId::GatewayStatus, { { "in_flight", 1 } });
        log.flush();
        // More than a pipe takes in one write.
        for (int i = 0; i < 6; ++i)
            log.write(EventId::GatewayStatus, { { "filler", std::string(1'000, 'x') } });
        readNull();
    });
    CHECK(WTERMSIG(ended.status_) == SIGSEGV);
    REQUIRE(ended.lines_.size() == 8);
    for (std::size_t i = 0; i < 7; ++i)
        CHECK(Json::parse(ended.lines_[i]).at("name") == "gateway-status");
    CHECK(Json::parse(ended.lines_.back()).at("name") == "fatal-signal");
}

TEST_CASE("a log that has ended is not read by a later signal", "[fatal-signal]")
{
    const auto ended = runProcess([] {
        FatalSignalLog::install(STDOUT_FILENO, "front-a");
        {
            const SystemClock clock;
            LineLog log(clock, STDOUT_FILENO, {}, "front-a");
            const FatalSignalPendingLines lines(log);
            log.write(EventId::GatewayStatus, { { "in_flight", 1 } });
        }
        readNull();
    });
    CHECK(WTERMSIG(ended.status_) == SIGSEGV);
    REQUIRE(ended.lines_.size() == 1);
}

TEST_CASE("a process whose log nobody reads still ends by its signal", "[fatal-signal]")
{
    std::array<int, 2> ends {};
    REQUIRE(::pipe2(ends.data(), O_CLOEXEC | O_NONBLOCK) == 0);
    while (::write(ends[1], "x", 1) == 1) { }
    REQUIRE(::fcntl(ends[1], F_SETFL, 0) == 0);
    const auto child = ::fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        childMain(ends[1], [] {
            FatalSignalLog::install(STDOUT_FILENO, "front-a");
            readNull();
        });
    }
    const auto status = awaitEnd(child);
    ::close(ends[0]);
    ::close(ends[1]);
    REQUIRE(WIFSIGNALED(status));
    CHECK(WTERMSIG(status) == SIGSEGV);
}

TEST_CASE("the gateway logs a fatal signal from its start on", "[fatal-signal]")
{
    const auto ended = runProcess([] {
        GatewaySettings settings;
        settings.name_ = "front-\"a\"";
        runGateway("", settings, [](asio::io_context&, const GatewaySettings&) -> GatewayAdapter {
            readNull();
            return {};
        });
    });
    CHECK(hasFrameOf(requireLine(ended, SIGSEGV, "SIGSEGV").at("stack"), readNull));
}
