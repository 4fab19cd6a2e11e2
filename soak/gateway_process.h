#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>

namespace carawaypoint::soak
{

/// Runs a gateway as a child process. Signals go only to the process that this object started.
class GatewayProcess
{
public:
    GatewayProcess(std::string binary, std::string settingsPath, std::string logPath);
    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    void start();
    void sendSignal(int number) const;
    /// Whether the process has ended. @p status receives the status of waitpid().
    bool hasEnded(int &status);
    bool isRunning() const
    {
        return pid_ > 0;
    }
    pid_t processId() const
    {
        return pid_;
    }
    /// Whether the process started less than 300 ms ago, so that it may not have installed its signal handlers yet.
    bool wasJustStarted() const;
    /// Sends SIGKILL and waits until the process has ended.
    void kill();

private:
    std::string binary_;
    std::string settingsPath_;
    std::string logPath_;
    pid_t pid_ = -1;
    std::chrono::steady_clock::time_point startedAt_{};
};

}
