#pragma once

#include "core/clock.h"
#include "core/ids.h"
#include "core/result_code.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

namespace carawaypoint
{

class MetricsRegistry;

struct AdminRequest {
    std::string method;
    std::string path;
    std::map<std::string, std::string> query; // percent-decoded parameters
    std::string body;
};

struct AdminResponse {
    ResultCode code = ResultCode::Ok;
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// Makes a response with the status of @p code and the body `{"error":{"code","name","message","run_state"}}`. A non-empty
/// @p extraJson holds further members of the body, such as `"faults":[...]`.
AdminResponse makeAdminError(ResultCode code, std::string_view message, std::string_view extraJson = {});

/// Limits and timeouts of the admin server.
struct AdminLimits {
    // A configuration of one megabyte can double in size by JSON escapes.
    std::size_t maxBodyBytes = 3'000'000;
    std::size_t maxHeaderBytes = 8'192;
    std::size_t maxRequestMemory = 16'000'000; // bytes that all requests use together while they are received
    std::size_t maxConnections = 32;
    Duration readTimeout = seconds(10); // receipt of a request header, or of a body
    Duration idleTimeout = seconds(75); // between two requests on a connection; above the usual scrape interval of a minute
    Duration handlerTimeout = seconds(30); // from the call of a handler to its answer
    Duration writeTimeout = seconds(10); // sending of a response
};

/// HTTP server on the admin address of a daemon.
///
/// Handlers run on the given executor, which must run on one thread or be a strand. A handler answers by calling its responder
/// once, from any thread, at once or later; if it does not, the caller receives Internal after handlerTimeout. A responder may
/// outlive the server but must not be called after the executor's context was destroyed.
class AdminServer
{
public:
    using Responder = std::function<void(AdminResponse)>;
    using Handler = std::function<void(const AdminRequest &, Responder)>;

    AdminServer(boost::asio::any_io_executor executor, const AdminLimits &limits = {});
    ~AdminServer();

    /// Registers the handler of @p method and @p path. Must be called before start().
    void handle(std::string_view method, std::string_view path, Handler handler);

    /// Listens on @p listen; port 0 lets the system choose one. Returns the error of a failed socket call.
    std::error_code start(const Endpoint &listen);

    /// The address of the listening socket; invalid when there is none.
    Endpoint localEndpoint() const;

    /// Closes the listening socket and the connections. Must be called on the executor's thread or after it stopped.
    void stop();

    struct State; // defined in the .cpp file

private:
    std::shared_ptr<State> state_;
};

/// Registers `GET /metrics`, which answers with the metrics of @p registry. It must outlive the server.
void addMetricsHandler(AdminServer &server, MetricsRegistry &registry);

}
