#include "tests/cli/fake_daemon.h"

namespace carawaypoint
{

FakeDaemon::FakeDaemon()
    : server_(context_.get_executor())
{
}

FakeDaemon::~FakeDaemon()
{
    context_.stop();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void FakeDaemon::start()
{
    for (const auto &[path, body] : answers) {
        server_.handle("GET", path, [text = body](const AdminRequest &, const AdminServer::Responder &respond) { respond({.body = text}); });
    }
    server_.handle("GET", "/admin/config", [this](const AdminRequest &, const AdminServer::Responder &respond) {
        respond(generation == 0 ? makeAdminError(ResultCode::ConfigMissing, "no configuration was applied") : AdminResponse{.body = configBody()});
    });
    server_.handle("POST", "/admin/config", [this](const AdminRequest &request, const AdminServer::Responder &respond) { apply(request, respond); });
    server_.handle("GET", "/admin/config/status", [this](const AdminRequest &, const AdminServer::Responder &respond) {
        const auto lagging = ++statusCalls > inForceAfterCalls ? generation : generation - 1;
        respond({.body = R"({"generation":)" + std::to_string(generation) + R"(,"members":[{"id":"entry-1","zone":"a","state":"live","generation":)"
                     + std::to_string(generation) + R"(},{"id":"entry-2","zone":"b","state":"live","generation":)" + std::to_string(lagging)
                     + R"(},{"id":"entry-3","zone":"b","state":"dead","generation":0}]})"});
    });
    server_.handle("POST", "/admin/drain", [this](const AdminRequest &request, const AdminServer::Responder &respond) {
        drains.push_back(request.body);
        respond({.body = R"({"draining":true})"});
    });
    if (server_.start({"127.0.0.1", 0})) {
        throw std::runtime_error("the fake daemon cannot listen");
    }
    thread_ = std::thread([this] { context_.run(); });
}

std::string FakeDaemon::address() const
{
    return server_.localEndpoint().toString();
}

std::string FakeDaemon::configBody() const
{
    return toJson(VersionedConfig{generation, documents});
}

void FakeDaemon::apply(const AdminRequest &request, const AdminServer::Responder &respond)
{
    if (beforeApply) {
        beforeApply();
    }
    if (refusesChanges) {
        respond(makeAdminError(ResultCode::ConfigInvalid, "the configuration has faults", R"("faults":["base.ini:3: model m.pool: expected a pool"])"));
        return;
    }
    std::string errorText;
    const auto change = parseVersionedConfig(request.body, errorText, "expected_generation").value();
    if (change.generation != generation) {
        respond(makeAdminError(ResultCode::ConfigConflict, "another generation is in force", configBody().substr(1, configBody().size() - 2)));
        return;
    }
    documents = change.documents;
    ++generation;
    respond(losesAnswers ? makeAdminError(ResultCode::PlatformTimeout, "the platform did not answer")
                         : AdminResponse{.body = "{\"generation\":" + std::to_string(generation) + "}"});
}

}
