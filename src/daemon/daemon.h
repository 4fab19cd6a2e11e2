#pragma once

#include "config/process_settings.h"

#include <memory>

namespace carawaypoint
{

/// An entry daemon: owns the control thread, the traffic threads and their state.
class Daemon
{
public:
    explicit Daemon(ProcessSettings settings);
    ~Daemon();

    /// Runs until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit code of the process.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
