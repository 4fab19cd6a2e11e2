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
    std::map<std::string, std::string> query; // decoded
    std::string body;
};

struct AdminResponse {
    ResultCode code = ResultCode::Ok;
    unsigned status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/// An answer with the status of @p code and the body `{"error":{"code","name","message","run_state"}}`. When @p extraJson is
/// not empty it holds further members, such as `"faults":[...]`.
AdminResponse makeAdminError(ResultCode code, std::string_view message, std::string_view extraJson = {});

/// Bounds of the admin server.
struct AdminLimits {
    // JSON escapes can double a configuration of a megabyte.
    std::size_t maxBodyBytes = 3'000'000;
    std::size_t maxHeaderBytes = 8'192;
    std::size_t maxConnections = 32;
    Duration readTimeout = seconds(10);
    Duration idleTimeout = seconds(75); // of a kept connection, above the usual scrape interval of a minute
    Duration handlerTimeout = seconds(30);
    Duration writeTimeout = seconds(10);
};

/// HTTP server of a daemon's admin address.
///
/// Handlers run on the given executor, which must run in one thread or be a strand. A handler answers by calling its responder
/// once, from any thread, at once or later; without a call the caller is answered with Internal after the handler's timeout.
/// A responder may outlive the server but must not be called after the executor's context was destroyed.
class AdminServer
{
public:
    using Responder = std::function<void(AdminResponse)>;
    using Handler = std::function<void(const AdminRequest &, Responder)>;

    AdminServer(boost::asio::any_io_executor executor, const AdminLimits &limits = {});
    ~AdminServer();

    /// Registers the handler of @p method and @p path; before start().
    void handle(std::string_view method, std::string_view path, Handler handler);

    /// Opens the address. Port 0 asks the system for one.
    std::error_code start(const Endpoint &listen);

    /// The address that the server listens on.
    Endpoint localEndpoint() const;

    /// Closes the listening socket and the connections. Runs on the executor's thread or after it stopped.
    void stop();

    struct State; // defined in the .cpp file

private:
    std::shared_ptr<State> state_;
};

/// Registers `GET /metrics`, which answers with the metrics of @p registry. It must outlive the server.
void addMetricsHandler(AdminServer &server, MetricsRegistry &registry);

}
