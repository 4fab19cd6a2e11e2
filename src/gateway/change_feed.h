#pragma once

#include "gateway/change_notice.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <span>
#include <system_error>

namespace carawaypoint
{

/// Sends and receives change notices and requests as datagrams. Used on the control thread only.
///
/// Lost datagrams are tolerated: ChangeFollower detects the gap in the revisions.
class ChangeFeed
{
public:
    using Handler = std::function<void(const ChangeMessage &, const Endpoint &sender)>;

    explicit ChangeFeed(boost::asio::io_context &io);

    std::error_code open(const Endpoint &endpoint, Handler handler);
    void send(const ChangeNotice &notice, std::span<const Endpoint> receivers);
    /// Sends datagrams of encode() to @p receiver.
    void sendDatagrams(std::span<const std::vector<std::byte>> datagrams, const Endpoint &receiver);
    std::vector<std::vector<std::byte>> encode(const ChangeNotice &notice);
    void request(const ChangeRequest &request, const Endpoint &relay);

private:
    void receive(std::span<const std::byte> bytes, const Endpoint &sender);

    boost::asio::ip::udp::socket socket_;
    SteadyClock clock_;
    Handler handler_;
    FragmentAssembler assembler_;
    std::uint64_t lastMessageId_;
};

}
