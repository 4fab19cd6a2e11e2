#include "core/http_client.h"

#include "core/response_reader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <set>

namespace carawaypoint
{
namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace
{

std::error_code errorOf(const boost::system::error_code &error)
{
    if (error == beast::error::timeout || error == asio::error::timed_out) {
        return std::make_error_code(std::errc::timed_out);
    }
    if (error == asio::error::connection_refused) {
        return std::make_error_code(std::errc::connection_refused);
    }
    // end_of_stream means that the server closed the connection without an answer.
    const bool isHttp = error.category() == http::make_error_code(http::error::bad_version).category();
    if (isHttp && error != http::error::end_of_stream && error != http::error::partial_message) {
        return std::make_error_code(std::errc::bad_message);
    }
    return std::make_error_code(std::errc::connection_reset);
}

}

class HttpClient::Pool : public std::enable_shared_from_this<HttpClient::Pool>
{
public:
    explicit Pool(const Builder &settings)
        : settings_(settings)
    {
    }

    void send(const Endpoint &endpoint, HttpRequest request, Handler handler)
    {
        auto pending = std::make_shared<PendingRequest>(endpoint, std::move(request), std::move(handler));
        pending->deadline = std::chrono::steady_clock::now() + pending->request.timeout;
        asio::post(settings_.executor_, [self = shared_from_this(), pending] { self->startRequest(pending); });
    }

    void close()
    {
        asio::post(settings_.executor_, [self = shared_from_this()] {
            self->isClosed_ = true;
            for (auto &[endpoint, endpointPool] : self->endpointPools_) {
                endpointPool.idle.clear();
                for (auto &pending : std::exchange(endpointPool.waiting, {})) {
                    self->finishRequest(*pending, std::make_error_code(std::errc::connection_reset), {});
                }
            }
            for (const auto &stream : self->activeStreams_) {
                stream->close();
            }
        });
    }

private:
    using Stream = beast::tcp_stream;

    struct PendingRequest {
        PendingRequest(const Endpoint &target, HttpRequest &&what, Handler &&whenDone)
            : endpoint(target)
            , request(std::move(what))
            , handler(std::move(whenDone))
        {
        }
        Endpoint endpoint;
        HttpRequest request;
        Handler handler;
        SteadyTime deadline;
        std::unique_ptr<asio::steady_timer> waitTimer;
    };
    using PendingRequestPtr = std::shared_ptr<PendingRequest>;

    struct IdleConnection {
        std::shared_ptr<Stream> stream;
        SteadyTime since;
    };

    struct EndpointPool {
        std::deque<IdleConnection> idle; // most recently used last
        std::deque<PendingRequestPtr> waiting;
        std::size_t runningRequests = 0;
    };

    void startRequest(const PendingRequestPtr &pending)
    {
        if (isClosed_) {
            finishRequest(*pending, std::make_error_code(std::errc::connection_reset), {});
            return;
        }
        auto &endpointPool = endpointPools_[pending->endpoint];
        if (endpointPool.runningRequests < settings_.maxConnections_) {
            runRequest(pending, endpointPool);
            return;
        }
        if (endpointPool.waiting.size() >= settings_.maxWaiting_) {
            finishRequest(*pending, std::make_error_code(std::errc::no_buffer_space), {});
            return;
        }
        endpointPool.waiting.push_back(pending);
        pending->waitTimer = std::make_unique<asio::steady_timer>(settings_.executor_, pending->deadline);
        pending->waitTimer->async_wait([self = shared_from_this(), pending](const boost::system::error_code &error) {
            if (!error) {
                self->timeOutWaitingRequest(pending);
            }
        });
    }

    void timeOutWaitingRequest(const PendingRequestPtr &pending)
    {
        auto &waiting = endpointPools_[pending->endpoint].waiting;
        const auto found = std::find(waiting.begin(), waiting.end(), pending);
        if (found == waiting.end()) {
            return;
        }
        waiting.erase(found);
        finishRequest(*pending, std::make_error_code(std::errc::timed_out), {});
    }

    void runRequest(const PendingRequestPtr &pending, EndpointPool &endpointPool)
    {
        ++endpointPool.runningRequests;
        if (pending->waitTimer) {
            pending->waitTimer->cancel();
        }
        asio::co_spawn(settings_.executor_, runExchange(shared_from_this(), pending), asio::detached);
    }

    static asio::awaitable<void> runExchange(std::shared_ptr<Pool> self, PendingRequestPtr pending)
    {
        HttpAnswer answer;
        std::error_code error = std::make_error_code(std::errc::connection_reset);
        std::shared_ptr<Stream> reusableStream;
        try {
            auto stream = self->takeIdleStream(pending->endpoint);
            const bool isFromPool = stream != nullptr;
            bool isReusable = false;
            error = co_await self->sendOnce(*pending, stream, answer, isReusable);
            // The server may have closed the idle connection while the request was sent. Only reads are repeated: a failed write
            // may have taken effect, and its caller has to check that.
            if (error == std::errc::connection_reset && isFromPool && pending->request.method == "GET" && !self->isClosed_) {
                stream = nullptr;
                error = co_await self->sendOnce(*pending, stream, answer, isReusable);
            }
            // Connections that a fault on the way has silenced are silent together.
            if (error == std::errc::timed_out && isFromPool) {
                self->endpointPools_[pending->endpoint].idle.clear();
            }
            if (!error && isReusable) {
                reusableStream = stream;
            }
        } catch (const std::exception &) {
            error = std::make_error_code(std::errc::connection_reset);
        }
        self->releaseConnection(pending->endpoint, reusableStream);
        self->finishRequest(*pending, error, std::move(answer));
    }

    asio::awaitable<std::error_code> sendOnce(const PendingRequest &pending, std::shared_ptr<Stream> &stream, HttpAnswer &answer, bool &isReusable)
    {
        boost::system::error_code error;
        if (!stream) {
            stream = std::make_shared<Stream>(settings_.executor_);
        }
        const ActiveStreamGuard active(*this, stream);
        stream->expires_at(pending.deadline);
        if (!stream->socket().is_open()) {
            const auto address = asio::ip::make_address(pending.endpoint.address, error);
            if (error) {
                co_return std::make_error_code(std::errc::connection_reset);
            }
            co_await stream->async_connect(tcp::endpoint(address, pending.endpoint.port), asio::redirect_error(asio::use_awaitable, error));
            if (error) {
                co_return errorOf(error);
            }
            stream->socket().set_option(tcp::no_delay(true), error);
        }
        http::request<http::string_body> request(http::string_to_verb(pending.request.method), pending.request.target, 11);
        request.set(http::field::host, pending.endpoint.toString());
        for (const auto &[name, value] : pending.request.headers) {
            request.set(name, value);
        }
        request.body() = pending.request.body;
        request.prepare_payload();
        co_await http::async_write(*stream, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return errorOf(error);
        }
        beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        parser.body_limit(settings_.maxAnswerBytes_);
        error = co_await readResponse(*stream, buffer, parser);
        if (error) {
            co_return errorOf(error);
        }
        // Unexpected bytes after the answer make the connection unusable for further requests.
        isReusable = parser.keep_alive() && buffer.size() == 0;
        answer.status = parser.get().result_int();
        answer.headers.clear();
        for (const auto &field : parser.get()) {
            answer.headers.emplace_back(field.name_string(), field.value());
        }
        answer.body = std::move(parser.get().body());
        stream->expires_never();
        co_return std::error_code{};
    }

    std::shared_ptr<Stream> takeIdleStream(const Endpoint &endpoint)
    {
        auto &idle = endpointPools_[endpoint].idle;
        if (idle.empty()) {
            return nullptr;
        }
        auto last = std::move(idle.back());
        idle.pop_back();
        if (std::chrono::steady_clock::now() - last.since > settings_.maxIdle_) {
            idle.clear();
            return nullptr;
        }
        return last.stream;
    }

    void releaseConnection(const Endpoint &endpoint, const std::shared_ptr<Stream> &reusableStream)
    {
        auto &endpointPool = endpointPools_[endpoint];
        --endpointPool.runningRequests;
        if (reusableStream && !isClosed_) {
            endpointPool.idle.push_back({reusableStream, std::chrono::steady_clock::now()});
        }
        if (!endpointPool.waiting.empty()) {
            const auto next = endpointPool.waiting.front();
            endpointPool.waiting.pop_front();
            runRequest(next, endpointPool);
        } else if (endpointPool.runningRequests == 0 && endpointPool.idle.empty()) {
            endpointPools_.erase(endpoint);
        }
    }

    static void finishRequest(PendingRequest &pending, std::error_code error, HttpAnswer answer)
    {
        if (auto handler = std::exchange(pending.handler, nullptr)) {
            handler(error, std::move(answer));
        }
    }

    /// Registers a stream in activeStreams_ while a request uses it, so that close() can close it.
    class ActiveStreamGuard
    {
    public:
        ActiveStreamGuard(Pool &pool, std::shared_ptr<Stream> stream)
            : pool_(pool)
            , stream_(std::move(stream))
        {
            pool_.activeStreams_.insert(stream_);
        }
        ~ActiveStreamGuard()
        {
            pool_.activeStreams_.erase(stream_);
        }
        ActiveStreamGuard(const ActiveStreamGuard &) = delete;
        ActiveStreamGuard &operator=(const ActiveStreamGuard &) = delete;

    private:
        Pool &pool_;
        std::shared_ptr<Stream> stream_;
    };

    Builder settings_;
    std::map<Endpoint, EndpointPool> endpointPools_;
    std::set<std::shared_ptr<Stream>> activeStreams_;
    bool isClosed_ = false;
};

std::unique_ptr<HttpClient> HttpClient::Builder::build() const
{
    return std::unique_ptr<HttpClient>(new HttpClient(std::make_shared<Pool>(*this)));
}

HttpClient::HttpClient(std::shared_ptr<Pool> pool)
    : pool_(std::move(pool))
{
}

HttpClient::~HttpClient()
{
    pool_->close();
}

void HttpClient::send(const Endpoint &endpoint, HttpRequest request, Handler handler)
{
    pool_->send(endpoint, std::move(request), std::move(handler));
}

std::string percentEncoded(std::string_view segment)
{
    static constexpr std::string_view Unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
    static constexpr std::string_view Digits = "0123456789ABCDEF";
    std::string text;
    for (const char character : segment) {
        if (Unreserved.find(character) != std::string_view::npos) {
            text += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        text += {'%', Digits[byte >> 4U], Digits[byte & 15U]};
    }
    return text;
}

}
