#include "daemon/admin_bodies.h"
#include "observe/log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>

namespace carawaypoint
{

// Guards against alarms shown with wrong times: the daemon keeps monotonic times, which must be converted to UTC.
TEST(AdminBodies, showsAlarmsInUtc)
{
    const ClockPair now{TimePoint(hours(10)), std::chrono::system_clock::time_point(std::chrono::seconds(1'800'000'000))};
    Alarm alarm;
    alarm.condition = {AlarmKind::DomainLost, "a.d1", 0, "8 of 8 VMs do not answer", {"replica r1"}, false};
    alarm.since = TimePoint(hours(9));
    alarm.raisedAt = TimePoint(hours(9) + minutes(20));
    auto cleared = alarm;
    cleared.clearedAt = TimePoint(hours(10));
    const auto body = boost::json::parse(alarmsBody({alarm}, {cleared}, now)).as_object();
    const auto &active = body.at("active").as_array().at(0).as_object();
    EXPECT_EQ(active.at("cause"), "domain_lost a.d1");
    EXPECT_EQ(active.at("since"), "2027-01-15T07:00:00.000Z");
    EXPECT_FALSE(active.contains("cleared_at"));
    EXPECT_EQ(body.at("recent").as_array().at(0).at("cleared_at"), "2027-01-15T08:00:00.000Z");
}

// Guards against decision fields that are missing in the output of `carawaypoint explain`.
TEST(AdminBodies, explainShowsFieldsOfDecisions)
{
    logDecision("placement", "explained-replica", "vm-9", "bound spare", {{"incarnation", 3}});
    const auto records = decisionLog().find("explained-replica");
    const auto body = boost::json::parse(explainBody("explained-replica", records)).as_object();
    const auto &record = body.at("records").as_array().at(0).as_object();
    EXPECT_EQ(record.at("choice"), "vm-9");
    EXPECT_EQ(record.at("fields").at("incarnation"), 3);
}

// Guards against refusals of a configuration change from which the command line tool cannot parse the errors or the configuration in
// force.
TEST(AdminBodies, configErrorsAndConflictsAreParsable)
{
    LoadedConfig loaded;
    loaded.errors.push_back({{"base.ini", 3}, "model m.pool", "expected \"a\""});
    const auto errors = makeConfigErrorsResponse(loaded);
    EXPECT_EQ(errors.status, 400U);
    EXPECT_EQ(boost::json::parse(errors.body).at("faults").as_array().at(0), "base.ini:3: model m.pool: expected \"a\"");
    loaded.isTooLarge = true;
    EXPECT_EQ(makeConfigErrorsResponse(loaded).code, ResultCode::ConfigTooLarge);
    const auto conflict = makeConflictResponse({7, {"base", {{"north", "x"}}}});
    EXPECT_EQ(conflict.status, 409U);
    std::string error;
    const auto current = parseVersionedConfig(conflict.body, error);
    ASSERT_TRUE(current) << error;
    EXPECT_EQ(current->generation, 7U);
    EXPECT_EQ(current->documents.sites.at("north"), "x");
    EXPECT_EQ(boost::json::parse(conflict.body).at("error").at("code"), 601);
}

}
