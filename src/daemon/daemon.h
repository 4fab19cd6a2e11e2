#pragma once

#include "config/process_settings.h"

#include <memory>

namespace carawaypoint
{

/// One entry daemon: the control thread, the traffic threads and everything that they own.
class Daemon
{
public:
    explicit Daemon(ProcessSettings settings);
    ~Daemon();

    /// Serves until SIGTERM or SIGINT, then shuts down gracefully. Returns the exit code.
    int run();

private:
    class Impl;
    std::unique_ptr<Impl> impl_;
};

}
