#include "daemon/admin_api.h"

#include "daemon/admin_bodies.h"
#include "observe/metrics.h"

#include <boost/json.hpp>

namespace carawaypoint
{

namespace json = boost::json;

namespace
{

AdminResponse makeBody(std::string body)
{
    AdminResponse response;
    response.body = std::move(body);
    return response;
}

std::string configBody(const ConfigurationText &text)
{
    return "{\"generation\":" + std::to_string(text.generation) + ",\"documents\":" + text.text + "}";
}

json::value parseBody(const std::string &body)
{
    boost::system::error_code error;
    json::value value = json::parse(body, error);
    return error ? json::value() : value;
}

/// Answers a configuration change with the outcome of its proposal.
void respondToProposal(const AdminServer::Responder &respond, std::error_code error, const ConfigurationText &current)
{
    if (!error) {
        respond(makeBody("{\"generation\":" + std::to_string(current.generation) + "}"));
        return;
    }
    if (error == ResultCode::ConfigConflict) {
        std::string ignored; // parse errors are ignored: without a configuration in force the document text is empty
        respond(makeConflictResponse({current.generation, parseConfigDocuments(current.text, ignored).value_or(ConfigDocuments{})}));
        return;
    }
    const auto code = error.category() == resultCategory() ? static_cast<ResultCode>(error.value()) : ResultCode::Internal;
    respond(makeAdminError(code, "the configuration was not accepted as far as known"));
}

void proposeConfig(ControlPlane &controlPlane, const AdminRequest &request, const AdminServer::Responder &respond)
{
    std::string configError;
    const auto proposal = parseVersionedConfig(request.body, configError, "expected_generation");
    if (!proposal) {
        respond(makeAdminError(ResultCode::ConfigInvalid, configError));
        return;
    }
    const LoadedConfig loaded = loadConfig(proposal->documents, domainSizes(controlPlane.vms()));
    if (!loaded.errors.empty()) {
        respond(makeConfigErrorsResponse(loaded));
        return;
    }
    if (const std::string zone = controlPlane.findZoneWithoutSite(loaded); !zone.empty()) {
        respond(makeAdminError(ResultCode::ConfigInvalid, "zone " + zone + " has daemons but no site; expected a site with this zone"));
        return;
    }
    controlPlane.configuration().propose(toJson(proposal->documents), proposal->generation,
                                         [respond](std::error_code error, const ConfigurationText &current) { respondToProposal(respond, error, current); });
}

void addConfigHandlers(AdminServer &server, ControlPlane &controlPlane)
{
    server.handle("GET", "/admin/config", [&controlPlane](const AdminRequest &, const AdminServer::Responder &respond) {
        const GenerationTracker &tracker = controlPlane.configuration().tracker();
        respond(tracker.isReady() ? makeBody(configBody(tracker.inForce())) : makeAdminError(ResultCode::ConfigMissing, "no configuration is in force"));
    });
    server.handle("POST", "/admin/config",
                  [&controlPlane](const AdminRequest &request, const AdminServer::Responder &respond) { proposeConfig(controlPlane, request, respond); });
    server.handle("GET", "/admin/config/status", [&controlPlane](const AdminRequest &, const AdminServer::Responder &respond) {
        respond(makeBody(configStatusBody(controlPlane.configuration().tracker().generation(), controlPlane.memberGenerations())));
    });
}

void addDrainHandler(AdminServer &server, ControlPlane &controlPlane, std::function<void()> startDrain)
{
    server.handle("POST", "/admin/drain",
                  [&controlPlane, startDrain = std::move(startDrain)](const AdminRequest &request, const AdminServer::Responder &respond) {
                      const json::value body = parseBody(request.body);
                      const auto *object = body.if_object();
                      const auto *vm = object == nullptr ? nullptr : object->if_contains("vm");
                      if (vm == nullptr) {
                          respond(makeBody(R"({"draining":"daemon"})"));
                          startDrain();
                      } else if (!vm->is_string() || !controlPlane.drainVm(VmId(std::string(vm->as_string())))) {
                          respond(makeAdminError(ResultCode::ObjectNotFound, "the platform does not list this VM"));
                      } else {
                          respond(makeBody(R"({"draining":"vm"})"));
                      }
                  });
}

}

void addAdminHandlers(AdminServer &server, ControlPlane &controlPlane, const Clock &clock, std::function<void()> startDrain)
{
    addConfigHandlers(server, controlPlane);
    addDrainHandler(server, controlPlane, std::move(startDrain));
    addExplainHandler(server, decisionLog());
    server.handle("GET", "/admin/status",
                  [&controlPlane](const AdminRequest &, const AdminServer::Responder &respond) { respond(makeBody(statusBody(controlPlane.status()))); });
    server.handle("GET", "/admin/alarms", [&controlPlane, &clock](const AdminRequest &, const AdminServer::Responder &respond) {
        respond(makeBody(alarmsBody(controlPlane.alarms().active(), controlPlane.alarms().recent(), {clock.now(), std::chrono::system_clock::now()})));
    });
    addMetricsHandler(server, metricsRegistry());
}

}
