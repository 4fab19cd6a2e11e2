#pragma once

#include "core/clock.h"
#include "core/ids.h"

#include <boost/asio/any_io_executor.hpp>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace carawaypoint
{

struct HttpRequest {
    std::string method = "GET";
    std::string target = "/"; // path and query, already percent-encoded
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    Duration timeout{seconds(2)}; // for waiting for a connection, connecting, sending and receiving the complete answer
};

struct HttpAnswer {
    unsigned status = 0;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers; // in the order of the answer
};

/// HTTP/1.1 client with a limited pool of keep-alive connections for each endpoint.
///
/// The executor must run handlers one at a time (an io_context with one thread, or a strand). Each handler is called on it
/// exactly once, never inside send(), also when the client is destroyed first. Errors are timed_out (no complete answer within
/// the timeout), bad_message (the answer is not HTTP or is too long), no_buffer_space (too many requests wait; not sent),
/// connection_refused (no process listens at the endpoint; not sent) and connection_reset (any other failure). After all but
/// no_buffer_space and connection_refused, the server may have handled the request.
class HttpClient
{
public:
    using Handler = std::function<void(std::error_code, HttpAnswer)>;

    class Builder
    {
    public:
        explicit Builder(boost::asio::any_io_executor executor)
            : executor_(std::move(executor))
        {
        }
        Builder &maxConnections(std::size_t perEndpoint)
        {
            maxConnections_ = perEndpoint;
            return *this;
        }
        Builder &maxWaiting(std::size_t perEndpoint)
        {
            maxWaiting_ = perEndpoint;
            return *this;
        }
        /// A connection that was idle for longer is not used again.
        Builder &maxIdle(Duration maxIdle)
        {
            maxIdle_ = maxIdle;
            return *this;
        }
        Builder &maxAnswerBytes(std::size_t bytes)
        {
            maxAnswerBytes_ = bytes;
            return *this;
        }
        std::unique_ptr<HttpClient> build() const;

    private:
        friend class HttpClient;
        boost::asio::any_io_executor executor_;
        std::size_t maxConnections_ = 8;
        std::size_t maxWaiting_ = 256;
        Duration maxIdle_{seconds(20)};
        std::size_t maxAnswerBytes_ = std::size_t{64} * 1024 * 1024;
    };

    ~HttpClient();
    HttpClient(const HttpClient &) = delete;
    HttpClient &operator=(const HttpClient &) = delete;

    void send(const Endpoint &endpoint, HttpRequest request, Handler handler);

private:
    class Pool;
    explicit HttpClient(std::shared_ptr<Pool> pool);

    std::shared_ptr<Pool> pool_;
};

/// Percent-encodes one segment of a URL path.
std::string percentEncoded(std::string_view segment);

}
