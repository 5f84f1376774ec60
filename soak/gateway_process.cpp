#include "soak/gateway_process.h"

#include <array>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fmt/format.h>
#include <fstream>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace sapphirepass::soak {

auto faultOfEnd(int waitStatus, const AskedEnd& asked) -> std::string
{
    const auto when = asked.isStop_ ? "at a planned stop" : "by itself";
    if (WIFSIGNALED(waitStatus)) {
        const auto number = WTERMSIG(waitStatus);
        if (asked.isKill_ && number == SIGKILL)
            return {};
        return fmt::format("ended {} by signal {} ({})", when, number, ::strsignal(number));
    }
    if (asked.isStop_ && WEXITSTATUS(waitStatus) == 0)
        return {};
    return fmt::format("ended {} with status {}", when, WEXITSTATUS(waitStatus));
}

GatewayProcess::GatewayProcess(GatewayPlan plan)
    : plan_(std::move(plan))
{
    std::ofstream settings(fmt::format("{}/{}.ini", plan_.folder_, plan_.settings_.name_));
    settings << fmt::format("[instance]\nname = {}\nregion = north\ndomain = north-a\nfront = {}\ndirectory = {}\nready = {}\ncontrol = {}\npeer = {}\n[store]\naddress = {}\n[rates]\nover = 0.1\nslack = 20\n[retries]\nslack = 64\n[domains]\nnorth-a = north\n", plan_.settings_.name_, formatSocketAddress(plan_.settings_.front_), formatSocketAddress(plan_.settings_.directory_), formatSocketAddress(plan_.settings_.ready_), formatSocketAddress(plan_.settings_.control_), formatSocketAddress(plan_.settings_.peer_), formatSocketAddress(plan_.settings_.store_));
}

GatewayProcess::~GatewayProcess()
{
    if (pid_ <= 0)
        return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
}

auto GatewayProcess::start() -> void
{
    const auto settings = fmt::format("{}/{}.ini", plan_.folder_, plan_.settings_.name_);
    const auto log = logPath();
    std::string config = "--config=" + settings;
    std::string subcommand = "gateway";
    const bool isFirst = !std::exchange(wasStarted_, true);
    std::string binary = isFirst && !plan_.programs_.before_.empty() ? plan_.programs_.before_ : plan_.programs_.current_;
    const std::array<char*, 4> arguments { binary.data(), subcommand.data(), config.data(), nullptr };
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int failure = ::posix_spawn(&pid_, binary.c_str(), &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (failure != 0)
        throw std::runtime_error(fmt::format("cannot start {}", binary));
}

auto GatewayProcess::logPath() const -> std::string
{
    return fmt::format("{}/{}.log", plan_.folder_, plan_.settings_.name_);
}

auto GatewayProcess::signal(int number) -> void
{
    if (pid_ > 0)
        ::kill(pid_, number);
}

auto GatewayProcess::ended() -> std::optional<int>
{
    int status = 0;
    if (pid_ <= 0 || ::waitpid(pid_, &status, WNOHANG) != pid_)
        return std::nullopt;
    pid_ = 0;
    return status;
}

} // namespace sapphirepass::soak
