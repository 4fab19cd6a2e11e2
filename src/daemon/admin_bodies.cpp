#include "daemon/admin_bodies.h"

#include "observe/log.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

namespace carawaypoint
{

namespace
{

namespace json = boost::json;

json::value toJson(const Alarm &alarm, const ClockPair &now)
{
    const auto &info = alarmKindInfo(alarm.condition.kind);
    json::array effects;
    for (const auto &effect : alarm.condition.effects) {
        effects.emplace_back(effect);
    }
    json::object object{{"cause", alarm.condition.cause()}, {"kind", json::string_view(info.name)},    {"subject", alarm.condition.subject},
                        {"since", now.format(alarm.since)}, {"raised_at", now.format(alarm.raisedAt)}, {"detail", alarm.condition.detail},
                        {"effects", std::move(effects)},    {"advice", json::string_view(info.advice)}};
    if (!alarm.isActive()) {
        object["cleared_at"] = now.format(alarm.clearedAt);
    }
    return object;
}

json::array toJson(const std::vector<Alarm> &alarms, const ClockPair &now)
{
    json::array array;
    for (const auto &alarm : alarms) {
        array.push_back(toJson(alarm, now));
    }
    return array;
}

}

std::string ClockPair::format(TimePoint time) const
{
    return formatUtc(utc + std::chrono::duration_cast<std::chrono::system_clock::duration>(time - monotonic));
}

std::string alarmsBody(const std::vector<Alarm> &active, const std::vector<Alarm> &recent, const ClockPair &now)
{
    return json::serialize(json::object{{"active", toJson(active, now)}, {"recent", toJson(recent, now)}});
}

std::string explainBody(std::string_view subject, std::span<const DecisionRecord> records)
{
    json::array array;
    for (const auto &record : records) {
        json::error_code error;
        auto fields = json::parse(record.fieldsJson, error);
        array.push_back(json::object{{"time", formatUtc(record.at)},
                                     {"kind", record.kind},
                                     {"choice", record.choice},
                                     {"reason", record.reason},
                                     {"fields", error ? json::value(json::object()) : std::move(fields)}});
    }
    return json::serialize(json::object{{"subject", json::string_view(subject)}, {"records", std::move(array)}});
}

void addExplainHandler(AdminServer &server, const DecisionLog &log)
{
    server.handle("GET", "/admin/explain", [&log](const AdminRequest &request, const AdminServer::Responder &respond) {
        const auto subject = request.query.find("subject");
        if (subject == request.query.end() || subject->second.empty()) {
            respond(makeAdminError(ResultCode::MalformedRequest, "expected the parameter subject"));
            return;
        }
        AdminResponse response;
        response.body = explainBody(subject->second, log.find(subject->second));
        respond(std::move(response));
    });
}

AdminResponse makeConfigErrorsResponse(const LoadedConfig &loaded)
{
    json::array errors;
    for (const auto &error : loaded.errors) {
        errors.emplace_back(error.toString());
    }
    const auto code = loaded.isTooLarge ? ResultCode::ConfigTooLarge : ResultCode::ConfigInvalid;
    return makeAdminError(code, std::to_string(errors.size()) + " faults, nothing was applied", "\"faults\":" + json::serialize(errors));
}

AdminResponse makeConflictResponse(const VersionedConfig &current)
{
    const auto body = carawaypoint::toJson(current);
    // makeAdminError() takes the members of the object without its braces.
    return makeAdminError(ResultCode::ConfigConflict, "another generation is in force, nothing was applied", std::string_view(body).substr(1, body.size() - 2));
}

AlarmTimes toAlarmTimes(const AlarmSettings &settings)
{
    return {.replicaDown = settings.replicaDown,
            .domainLost = settings.domainLost,
            .platformDown = settings.platformDown,
            .zoneCutOff = settings.zoneCutOff,
            .daemonsLost = settings.daemonsLost,
            .serviceDown = settings.serviceDown,
            .configNotInForce = settings.configNotInForce,
            .clearAfter = settings.clearAfter};
}

}
