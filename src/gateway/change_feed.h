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
    void request(const ChangeRequest &request, const Endpoint &relay);

private:
    boost::asio::ip::udp::socket socket_;
};

}
