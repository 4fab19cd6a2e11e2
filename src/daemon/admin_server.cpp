#include "daemon/admin_server.h"

#include "core/memory_budget.h"
#include "core/request_decoder.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/url_view.hpp>

#include <atomic>
#include <exception>
#include <optional>
#include <set>
#include <utility>

namespace carawaypoint
{

namespace
{

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Tcp = asio::ip::tcp;

class AdminSession;

}

struct AdminServer::State {
    State(asio::any_io_executor usedExecutor, const AdminLimits &usedLimits)
        : executor(std::move(usedExecutor))
        , limits(usedLimits)
        , acceptor(executor)
        , acceptRetryTimer(executor)
        , requestMemory(usedLimits.maxRequestMemory)
    {
    }

    asio::any_io_executor executor;
    AdminLimits limits;
    Tcp::acceptor acceptor;
    asio::steady_timer acceptRetryTimer;
    MemoryBudget requestMemory; // of bodies that are being received
    std::map<std::pair<std::string, std::string>, Handler> handlers;
    std::set<AdminSession *> sessions;
};

namespace
{

/// One admin connection. Keeps itself alive while an operation is outstanding.
class AdminSession : public std::enable_shared_from_this<AdminSession>
{
public:
    AdminSession(Tcp::socket socket, std::shared_ptr<AdminServer::State> server)
        : server_(std::move(server))
        , stream_(std::move(socket))
        , handlerTimer_(server_->executor)
        , reservation_(server_->requestMemory)
    {
        server_->sessions.insert(this);
    }

    AdminSession(const AdminSession &) = delete;
    AdminSession &operator=(const AdminSession &) = delete;

    ~AdminSession()
    {
        server_->sessions.erase(this);
    }

    void read()
    {
        decoder_.emplace(RequestLimits{server_->limits.maxHeaderBytes, server_->limits.maxBodyBytes});
        // idleTimeout covers the pause between two requests; the body gets readTimeout of its own after the header.
        stream_.expires_after(isKeptAlive_ ? server_->limits.idleTimeout : server_->limits.readTimeout);
        decode();
    }

    void close()
    {
        beast::error_code ignored;
        stream_.socket().shutdown(Tcp::socket::shutdown_both, ignored);
        stream_.close();
        handlerTimer_.cancel();
    }

private:
    /// Decodes what has arrived, and receives more until the request is complete.
    void decode()
    {
        beast::error_code error;
        if (!decoder_->isHeaderDone()) {
            error = decoder_->decodeHeader(buffer_);
            if (!error) {
                stream_.expires_after(server_->limits.readTimeout);
            }
        }
        while (!error && !decoder_->isDone()) {
            error = decoder_->decodeBody(buffer_);
            if (error == http::error::need_buffer) {
                error = growBody();
            }
        }
        if (error == http::error::need_more) {
            receive();
        } else {
            dispatch(error);
        }
    }

    /// Makes room for more of the body. All connections together may not use more than the limit.
    beast::error_code growBody()
    {
        if (!reservation_.resize(decoder_->memoryUseToGrow())) {
            return make_error_code(boost::system::errc::not_enough_memory);
        }
        decoder_->growBody();
        reservation_.resize(decoder_->memoryUse());
        return {};
    }

    void receive()
    {
        stream_.async_read_some(buffer_.prepare(decoder_->readSize()), [self = shared_from_this()](beast::error_code error, std::size_t count) {
            self->buffer_.commit(count);
            if (error) {
                self->dispatch(error == asio::error::eof ? http::error::end_of_stream : error);
            } else {
                self->decode();
            }
        });
    }

    void answerReadError(beast::error_code error)
    {
        isKeptAlive_ = false;
        if (error == http::error::body_limit || error == http::error::header_limit) {
            closesAfterResponse_ = true;
            write(makeAdminError(ResultCode::RequestTooLarge, "the request is larger than the admin server accepts"));
        } else if (error == boost::system::errc::not_enough_memory) {
            closesAfterResponse_ = true;
            write(makeAdminError(ResultCode::RequestMemoryFull, "too many large requests at once"));
        } else if (error.category() == make_error_code(http::error::bad_method).category() && error != http::error::end_of_stream
                   && error != http::error::partial_message) {
            closesAfterResponse_ = true;
            write(makeAdminError(ResultCode::MalformedRequest, error.message()));
        }
    }

    void dispatch(beast::error_code error)
    {
        reservation_.resize(0);
        if (error) {
            answerReadError(error);
            return;
        }
        auto message = decoder_->release();
        closesAfterResponse_ = !message.keep_alive();
        isAnswered_ = false;
        ++requestSequence_;
        const auto target = boost::urls::parse_origin_form(message.target());
        if (target.has_error()) {
            answer(requestSequence_, makeAdminError(ResultCode::MalformedRequest, "expected a path and an optional query"));
            return;
        }
        AdminRequest request;
        request.method = message.method_string();
        request.path = std::string(target->encoded_path());
        for (const auto &parameter : target->params()) {
            request.query[parameter.key] = parameter.value;
        }
        request.body = std::move(message.body());
        callHandler(request);
    }

    void callHandler(const AdminRequest &request)
    {
        const auto found = server_->handlers.find({request.method, request.path});
        if (found == server_->handlers.end()) {
            answer(requestSequence_, makeAdminError(ResultCode::UnknownPath, "no handler for " + request.method + " " + request.path));
            return;
        }
        stream_.expires_never();
        handlerTimer_.expires_after(server_->limits.handlerTimeout);
        handlerTimer_.async_wait([self = shared_from_this(), sequence = requestSequence_](beast::error_code error) {
            if (!error) {
                self->answer(sequence, makeAdminError(ResultCode::Internal, "no answer within the time limit"));
            }
        });
        // The responder may be destroyed on any thread, so it must not hold the last reference to the session.
        auto respond = [weak = weak_from_this(), executor = server_->executor, sequence = requestSequence_](AdminResponse response) {
            asio::post(executor, [weak, sequence, response = std::move(response)]() mutable {
                if (const auto self = weak.lock()) {
                    self->answer(sequence, std::move(response));
                }
            });
        };
        try {
            found->second(request, respond);
        } catch (const std::exception &error) {
            answer(requestSequence_, makeAdminError(ResultCode::Internal, error.what()));
        }
    }

    /// Sends the first answer to a request; ignores a second one and one that arrives after handlerTimeout.
    void answer(std::uint64_t sequence, AdminResponse response)
    {
        if (isAnswered_ || sequence != requestSequence_) {
            return;
        }
        isAnswered_ = true;
        handlerTimer_.cancel();
        write(std::move(response));
    }

    void write(AdminResponse response)
    {
        response_ = {};
        response_.version(11);
        response_.result(response.status);
        response_.set(http::field::content_type, response.contentType);
        response_.set("X-Result-Code", std::to_string(static_cast<unsigned>(response.code)) + " " + std::string(resultCodeName(response.code)));
        response_.keep_alive(!closesAfterResponse_);
        response_.body() = std::move(response.body);
        response_.prepare_payload();
        stream_.expires_after(server_->limits.writeTimeout);
        http::async_write(stream_, response_, [self = shared_from_this()](beast::error_code error, std::size_t) {
            if (error) {
                return;
            }
            if (self->closesAfterResponse_) {
                self->close();
                return;
            }
            self->isKeptAlive_ = true;
            self->read();
        });
    }

    std::shared_ptr<AdminServer::State> server_;
    beast::tcp_stream stream_;
    asio::steady_timer handlerTimer_;
    beast::flat_buffer buffer_;
    std::optional<RequestDecoder> decoder_;
    MemoryBudget::Reservation reservation_;
    http::response<http::string_body> response_;
    std::uint64_t requestSequence_ = 0; // number of the current request on this connection
    bool isAnswered_ = false;
    bool isKeptAlive_ = false; // a request on this connection was answered before
    bool closesAfterResponse_ = false;
};

void acceptNext(const std::shared_ptr<AdminServer::State> &state)
{
    state->acceptor.async_accept([state](beast::error_code error, Tcp::socket socket) {
        if (error == asio::error::operation_aborted || !state->acceptor.is_open()) {
            return;
        }
        if (!error && state->sessions.size() < state->limits.maxConnections) {
            std::make_shared<AdminSession>(std::move(socket), state)->read();
        }
        if (!error) {
            acceptNext(state);
            return;
        }
        // Without a delay, a persistent error such as a lack of file descriptors would keep the control thread busy.
        state->acceptRetryTimer.expires_after(milliseconds(100));
        state->acceptRetryTimer.async_wait([state](beast::error_code delayError) {
            if (!delayError) {
                acceptNext(state);
            }
        });
    });
}

}

AdminResponse makeAdminError(ResultCode code, std::string_view message, std::string_view extraJson)
{
    const auto &info = resultCodeInfo(code);
    const boost::json::object error{{"code", static_cast<unsigned>(code)},
                                    {"name", boost::json::string_view(info.name)},
                                    {"message", boost::json::string_view(message)},
                                    {"run_state", boost::json::string_view(runStateName(info.runState))}};
    AdminResponse response;
    response.code = code;
    response.status = info.httpStatus;
    response.body = "{\"error\":" + boost::json::serialize(error) + (extraJson.empty() ? "" : ",") + std::string(extraJson) + "}";
    return response;
}

AdminServer::AdminServer(asio::any_io_executor executor, const AdminLimits &limits)
    : state_(std::make_shared<State>(std::move(executor), limits))
{
}

AdminServer::~AdminServer()
{
    stop();
}

void AdminServer::handle(std::string_view method, std::string_view path, Handler handler)
{
    state_->handlers[{std::string(method), std::string(path)}] = std::move(handler);
}

std::error_code AdminServer::start(const Endpoint &listen)
{
    beast::error_code error;
    const auto address = asio::ip::make_address(listen.address, error);
    if (error) {
        return error;
    }
    const Tcp::endpoint endpoint(address, listen.port);
    auto &acceptor = state_->acceptor;
    acceptor.open(endpoint.protocol(), error);
    if (!error) {
        acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
    }
    if (!error) {
        acceptor.bind(endpoint, error);
    }
    if (!error) {
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        beast::error_code ignored;
        acceptor.close(ignored);
        return error;
    }
    acceptNext(state_);
    return {};
}

Endpoint AdminServer::localEndpoint() const
{
    beast::error_code error;
    const auto endpoint = state_->acceptor.local_endpoint(error);
    return error ? Endpoint{} : Endpoint{endpoint.address().to_string(), endpoint.port()};
}

void AdminServer::stop()
{
    beast::error_code ignored;
    state_->acceptor.close(ignored);
    state_->acceptRetryTimer.cancel();
    for (auto *session : state_->sessions) {
        session->close();
    }
}

void addMetricsHandler(AdminServer &server, MetricsRegistry &registry)
{
    server.handle("GET", "/metrics", [&registry](const AdminRequest &, const AdminServer::Responder &respond) {
        registry.set(GaugeMetric::DroppedLogLines, {}, static_cast<double>(droppedLogLines()));
        AdminResponse response;
        response.contentType = "text/plain; version=0.0.4; charset=utf-8";
        response.body = registry.serialize();
        respond(std::move(response));
    });
}

}
