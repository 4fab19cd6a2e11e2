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

/// Answers with the outcome of a proposal.
void respondToProposal(const AdminServer::Responder &respond, std::error_code error, const ConfigurationText &present)
{
    if (!error) {
        respond(makeBody("{\"generation\":" + std::to_string(present.generation) + "}"));
        return;
    }
    if (error == ResultCode::ConfigConflict) {
        std::string ignored; // without a configuration in force there are no documents to read
        respond(makeConflictResponse({present.generation, parseConfigDocuments(present.text, ignored).value_or(ConfigDocuments{})}));
        return;
    }
    const auto code = error.category() == resultCategory() ? static_cast<ResultCode>(error.value()) : ResultCode::Internal;
    respond(makeAdminError(code, "the configuration was not accepted as far as known"));
}

void proposeConfig(ControlPlane &plane, const AdminRequest &request, const AdminServer::Responder &respond)
{
    std::string fault;
    const auto proposal = parseVersionedConfig(request.body, fault, "expected_generation");
    if (!proposal) {
        respond(makeAdminError(ResultCode::ConfigInvalid, fault));
        return;
    }
    const LoadedConfig loaded = loadConfig(proposal->documents, domainSizes(plane.vms()));
    if (!loaded.faults.empty()) {
        respond(makeFaultsResponse(loaded));
        return;
    }
    if (const std::string zone = plane.findZoneWithoutSite(loaded); !zone.empty()) {
        respond(makeAdminError(ResultCode::ConfigInvalid, "zone " + zone + " has daemons but no site; expected a site with this zone"));
        return;
    }
    plane.configuration().propose(toJson(proposal->documents), proposal->generation,
                                  [respond](std::error_code error, const ConfigurationText &present) { respondToProposal(respond, error, present); });
}

void addConfigHandlers(AdminServer &server, ControlPlane &plane)
{
    server.handle("GET", "/admin/config", [&plane](const AdminRequest &, const AdminServer::Responder &respond) {
        const GenerationTracker &tracker = plane.configuration().tracker();
        respond(tracker.isReady() ? makeBody(configBody(tracker.inForce())) : makeAdminError(ResultCode::ConfigMissing, "no configuration is in force"));
    });
    server.handle("POST", "/admin/config",
                  [&plane](const AdminRequest &request, const AdminServer::Responder &respond) { proposeConfig(plane, request, respond); });
    server.handle("GET", "/admin/config/status", [&plane](const AdminRequest &, const AdminServer::Responder &respond) {
        respond(makeBody(configStatusBody(plane.configuration().tracker().generation(), plane.memberGenerations())));
    });
}

void addDrainHandler(AdminServer &server, ControlPlane &plane, std::function<void()> startDrain)
{
    server.handle("POST", "/admin/drain", [&plane, startDrain = std::move(startDrain)](const AdminRequest &request, const AdminServer::Responder &respond) {
        const json::value body = parseBody(request.body);
        const auto *object = body.if_object();
        const auto *vm = object == nullptr ? nullptr : object->if_contains("vm");
        if (vm == nullptr) {
            respond(makeBody(R"({"draining":"daemon"})"));
            startDrain();
        } else if (!vm->is_string() || !plane.drainVm(VmId(std::string(vm->as_string())))) {
            respond(makeAdminError(ResultCode::ObjectNotFound, "the platform does not list this VM"));
        } else {
            respond(makeBody(R"({"draining":"vm"})"));
        }
    });
}

}

void addAdminHandlers(AdminServer &server, ControlPlane &plane, const Clock &clock, std::function<void()> startDrain)
{
    addConfigHandlers(server, plane);
    addDrainHandler(server, plane, std::move(startDrain));
    addExplainHandler(server, decisionLog());
    server.handle("GET", "/admin/status",
                  [&plane](const AdminRequest &, const AdminServer::Responder &respond) { respond(makeBody(statusBody(plane.status()))); });
    server.handle("GET", "/admin/alarms", [&plane, &clock](const AdminRequest &, const AdminServer::Responder &respond) {
        respond(makeBody(alarmsBody(plane.alarms().active(), plane.alarms().recent(), {clock.now(), std::chrono::system_clock::now()})));
    });
    addMetricsHandler(server, metricsRegistry());
}

}
