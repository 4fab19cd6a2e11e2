#pragma once

#include <atomic>
#include <string>
#include <sys/types.h>
#include <thread>

namespace carawaypoint
{

/// Samples the memory and the descriptors of a process until it is destroyed.
///
/// Memory is what counts on a VM: the resident memory of the process, and the bytes that the kernel has received for it and it has not read.
class ProcessUsage
{
public:
    /// @param address IPv4 address that only the process listens on.
    ProcessUsage(pid_t process, const std::string &address);
    ~ProcessUsage();
    ProcessUsage(const ProcessUsage &) = delete;
    ProcessUsage &operator=(const ProcessUsage &) = delete;

    std::size_t peakBytes() const
    {
        return peakBytes_;
    }
    /// The part of the memory that the process had not read.
    std::size_t peakUnreadBytes() const
    {
        return peakUnreadBytes_;
    }
    std::size_t peakDescriptors() const
    {
        return peakDescriptors_;
    }

private:
    void sample();
    std::size_t unreadBytes() const;

    pid_t process_;
    std::string address_; // as the kernel writes it
    std::atomic<std::size_t> peakBytes_{0};
    std::atomic<std::size_t> peakUnreadBytes_{0};
    std::atomic<std::size_t> peakDescriptors_{0};
    std::atomic<bool> isStopped_{false};
    std::thread thread_;
};

}
