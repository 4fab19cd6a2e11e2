#include "load/entry_balancer.h"

#include "core/clock.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace carawaypoint
{

namespace
{

namespace beast = boost::beast;
namespace http = boost::beast::http;

constexpr auto PollInterval = milliseconds(100);
constexpr auto ReadinessTimeout = milliseconds(500);

/// Sends one `GET /readyz`. The operations are asynchronous on a local io_context, because Beast's timeouts do not apply to
/// synchronous ones.
bool isEntryReady(const Endpoint &entry)
{
    boost::asio::io_context context(1);
    beast::tcp_stream stream(context);
    http::request<http::empty_body> request{http::verb::get, "/readyz", 11};
    request.set(http::field::host, entry.toString());
    request.keep_alive(false);
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    bool isReady = false;
    stream.expires_after(ReadinessTimeout);
    stream.async_connect({boost::asio::ip::make_address(entry.address), entry.port}, [&](beast::error_code connectError) {
        if (connectError) {
            return;
        }
        http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
            if (writeError) {
                return;
            }
            http::async_read(stream, buffer, response,
                             [&](beast::error_code readError, std::size_t) { isReady = !readError && response.result() == http::status::ok; });
        });
    });
    context.run();
    return isReady;
}

}

EntryBalancer::EntryBalancer(std::vector<Endpoint> entries)
{
    for (auto &endpoint : entries) {
        entries_.emplace_back().endpoint = std::move(endpoint);
    }
    thread_ = std::thread([this] { pollReadiness(); });
}

EntryBalancer::~EntryBalancer()
{
    isStopping_ = true;
    thread_.join();
}

void EntryBalancer::pollReadiness()
{
    while (!isStopping_) {
        for (auto &entry : entries_) {
            entry.isReady = isEntryReady(entry.endpoint);
        }
        std::this_thread::sleep_for(PollInterval);
    }
}

const Endpoint &EntryBalancer::chooseEntry(std::size_t number) const
{
    for (std::size_t offset = 0; offset < entries_.size(); ++offset) {
        const auto &entry = entries_[(number + offset) % entries_.size()];
        if (entry.isReady) {
            return entry.endpoint;
        }
    }
    return entries_[number % entries_.size()].endpoint;
}

}
