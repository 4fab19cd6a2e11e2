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

/// Handles `POST /admin/config`.
class ConfigProposal
{
public:
    ConfigProposal(ControlPlane &plane, const AdminRequest &request)
        : plane_(plane)
        , body_(parseBody(request.body))
    {
    }

    void run(const AdminServer::Responder &respond)
    {
        const auto *object = body_.if_object();
        const auto *documents = object == nullptr ? nullptr : object->if_contains("documents");
        const auto *expected = object == nullptr ? nullptr : object->if_contains("expected_generation");
        boost::system::error_code error;
        const auto generation = expected == nullptr ? 0 : expected->to_number<std::uint64_t>(error);
        if (documents == nullptr || expected == nullptr || error) {
            respond(makeAdminError(ResultCode::ConfigInvalid, "expected an object with documents and expected_generation"));
            return;
        }
        std::string fault;
        const auto parsed = parseConfigDocuments(json::serialize(*documents), fault);
        if (!parsed) {
            respond(makeAdminError(ResultCode::ConfigInvalid, fault));
            return;
        }
        const auto sizes = domainSizes(plane_.vms());
        const LoadedConfig loaded = loadConfig(*parsed, sizes);
        if (!loaded.faults.empty()) {
            respond(makeFaultsResponse(loaded));
            return;
        }
        if (const std::string zone = plane_.findZoneWithoutSite(loaded); !zone.empty()) {
            respond(makeAdminError(ResultCode::ConfigInvalid, "zone " + zone + " has daemons but no site; expected a site with this zone"));
            return;
        }
        propose(*parsed, generation, respond);
    }

private:
    void propose(const ConfigDocuments &documents, std::uint64_t expected, const AdminServer::Responder &respond)
    {
        plane_.configuration().propose(toJson(documents), expected, [respond](std::error_code error, const ConfigurationText &present) {
            if (!error) {
                respond(makeBody("{\"generation\":" + std::to_string(present.generation) + "}"));
                return;
            }
            if (error != ResultCode::ConfigConflict) {
                const auto code = error.category() == resultCategory() ? static_cast<ResultCode>(error.value()) : ResultCode::Internal;
                respond(makeAdminError(code, "the configuration was not accepted as far as known"));
                return;
            }
            AdminResponse conflict = makeBody(configBody(present));
            conflict.code = ResultCode::ConfigConflict;
            conflict.status = resultCodeInfo(ResultCode::ConfigConflict).httpStatus;
            respond(std::move(conflict));
        });
    }

    ControlPlane &plane_;
    json::value body_;
};

void addConfigHandlers(AdminServer &server, ControlPlane &plane)
{
    server.handle("GET", "/admin/config", [&plane](const AdminRequest &, const AdminServer::Responder &respond) {
        const GenerationTracker &tracker = plane.configuration().tracker();
        respond(tracker.isReady() ? makeBody(configBody(tracker.inForce())) : makeAdminError(ResultCode::ConfigMissing, "no configuration is in force"));
    });
    server.handle("POST", "/admin/config",
                  [&plane](const AdminRequest &request, const AdminServer::Responder &respond) { ConfigProposal(plane, request).run(respond); });
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
