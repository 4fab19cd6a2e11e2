#include "tests/process/process_usage.h"

#include <algorithm>
#include <arpa/inet.h>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace carawaypoint
{

namespace
{

constexpr std::chrono::milliseconds SampleInterval{20};

std::string procPath(pid_t process, const std::string &name)
{
    return "/proc/" + std::to_string(process) + "/" + name;
}

/// A line of /proc/PID/status in bytes; 0 when the process has ended.
std::size_t statusBytes(pid_t process, const std::string &key)
{
    std::ifstream file(procPath(process, "status"));
    for (std::string line; std::getline(file, line);) {
        if (line.starts_with(key + ":")) {
            return std::stoul(line.substr(key.size() + 1)) * 1024;
        }
    }
    return 0;
}

std::size_t descriptorCount(pid_t process)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(procPath(process, "fd"), error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

/// Local address as /proc/net/tcp writes it, up to the port.
std::string kernelAddress(const std::string &address)
{
    char text[9] = {};
    std::snprintf(text, sizeof(text), "%08X", static_cast<unsigned>(::inet_addr(address.c_str())));
    return text;
}

void raise(std::atomic<std::size_t> &peak, std::size_t value)
{
    peak = std::max(peak.load(), value);
}

}

ProcessUsage::ProcessUsage(pid_t process, const std::string &address)
    : process_(process)
    , address_(kernelAddress(address))
    , thread_([this] {
        while (!isStopped_) {
            sample();
            std::this_thread::sleep_for(SampleInterval);
        }
    })
{
}

ProcessUsage::~ProcessUsage()
{
    isStopped_ = true;
    thread_.join();
}

void ProcessUsage::sample()
{
    const auto unread = unreadBytes();
    raise(peakUnreadBytes_, unread);
    raise(peakBytes_, statusBytes(process_, "VmRSS") + unread);
    raise(peakBytes_, statusBytes(process_, "VmHWM"));
    raise(peakDescriptors_, descriptorCount(process_));
}

std::size_t ProcessUsage::unreadBytes() const
{
    std::ifstream file("/proc/net/tcp");
    std::size_t total = 0;
    std::string line;
    std::getline(file, line);
    while (std::getline(file, line)) {
        std::istringstream words(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        words >> number >> local >> remote >> state >> queues;
        constexpr std::string_view Listening = "0A"; // its queue counts connections
        const auto colon = queues.find(':');
        if (local.starts_with(address_) && state != Listening && colon != std::string::npos) {
            total += std::stoul(queues.substr(colon + 1), nullptr, 16);
        }
    }
    return total;
}

}
