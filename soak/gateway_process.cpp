#include "soak/gateway_process.h"

#include "standins/child_process.h"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace carawaypoint::soak
{

GatewayProcess::GatewayProcess(std::string binary, std::string settingsPath, std::string logPath)
    : binary_(std::move(binary))
    , settingsPath_(std::move(settingsPath))
    , logPath_(std::move(logPath))
{
}

GatewayProcess::~GatewayProcess()
{
    kill();
}

void GatewayProcess::start()
{
    startedAt_ = std::chrono::steady_clock::now();
    pid_ = ::fork();
    if (pid_ < 0) {
        throw std::runtime_error("fork() failed for the gateway process");
    }
    if (pid_ == 0) {
        const int log = ::open(logPath_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
        ::dup2(log, STDOUT_FILENO);
        ::dup2(log, STDERR_FILENO);
        standins::closeInheritedDescriptors();
        ::execl(binary_.c_str(), binary_.c_str(), "gateway", "--settings", settingsPath_.c_str(), nullptr);
        ::_exit(127);
    }
}

bool GatewayProcess::wasJustStarted() const
{
    return std::chrono::steady_clock::now() - startedAt_ < std::chrono::milliseconds(300);
}

void GatewayProcess::sendSignal(int number) const
{
    if (pid_ > 0) {
        ::kill(pid_, number);
    }
}

bool GatewayProcess::hasEnded(int &status)
{
    if (pid_ <= 0) {
        return true;
    }
    if (::waitpid(pid_, &status, WNOHANG) != pid_) {
        return false;
    }
    pid_ = -1;
    return true;
}

void GatewayProcess::kill()
{
    if (pid_ <= 0) {
        return;
    }
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, nullptr, 0);
    pid_ = -1;
}

}
