#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace carawaypoint
{

/// What each connection of a crowd sends.
struct CrowdScript {
    std::string head{}; // sent once
    std::string piece{}; // sent again and again after the head
    std::size_t bytes = 0; // of pieces, in total
    std::chrono::milliseconds pause{}; // before each piece, so that the gateway reads the pieces one by one
    bool readsAnswers = true;
};

/// Connections that send what callers must not send, and stay open until the crowd is destroyed.
class CallerCrowd
{
public:
    /// Opens @p count connections to @p gateway and waits until each of them has sent its script or cannot send more.
    CallerCrowd(const boost::asio::ip::tcp::endpoint &gateway, unsigned count, CrowdScript script);
    ~CallerCrowd();
    CallerCrowd(const CallerCrowd &) = delete;
    CallerCrowd &operator=(const CallerCrowd &) = delete;

private:
    struct Member;

    boost::asio::io_context io_{1};
    CrowdScript script_;
    std::vector<std::shared_ptr<Member>> members_;
    std::thread thread_;
};

}
