#pragma once

#include "gateway/change_notice.h"
#include "gateway/relay_plan.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <span>
#include <system_error>

namespace carawaypoint
{

/// Sends and receives change notices as datagrams. Used on the control thread only.
///
/// Lost datagrams are tolerated: ChangeFollower detects the gap in the revisions.
class ChangeFeed
{
public:
    using Handler = std::function<void(const ChangeNotice &)>;

    explicit ChangeFeed(boost::asio::io_context &io);

    std::error_code open(const Endpoint &endpoint, Handler handler);
    void send(const ChangeNotice &notice, std::span<const PeerGateway> receivers);

private:
    boost::asio::ip::udp::socket socket_;
};

}
