#include "daemon/admin_bodies.h"
#include "observe/log.h"

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>
#include <gtest/gtest.h>

namespace carawaypoint
{

// Guards against alarms shown at a wrong time: the daemon's clock is monotonic, the operator's is not.
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

// Guards against fields of a decision that are lost on their way to `carawaypoint explain`.
TEST(AdminBodies, explainsWithFields)
{
    logDecision("placement", "explained-replica", "vm-9", "bound spare", {{"incarnation", 3}});
    const auto records = decisionLog().find("explained-replica");
    const auto body = boost::json::parse(explainBody("explained-replica", records)).as_object();
    const auto &record = body.at("records").as_array().at(0).as_object();
    EXPECT_EQ(record.at("choice"), "vm-9");
    EXPECT_EQ(record.at("fields").at("incarnation"), 3);
}

// Guards against answers to a change from which the command line cannot read the faults or the present configuration.
TEST(AdminBodies, answersToChanges)
{
    LoadedConfig loaded;
    loaded.faults.push_back({{"base.ini", 3}, "model m.pool", "expected \"a\""});
    const auto faults = makeFaultsResponse(loaded);
    EXPECT_EQ(faults.status, 400U);
    EXPECT_EQ(boost::json::parse(faults.body).at("faults").as_array().at(0), "base.ini:3: model m.pool: expected \"a\"");
    loaded.isTooLarge = true;
    EXPECT_EQ(makeFaultsResponse(loaded).code, ResultCode::ConfigTooLarge);
    const auto conflict = makeConflictResponse({7, {"base", {{"north", "x"}}}});
    EXPECT_EQ(conflict.status, 409U);
    std::string fault;
    const auto present = parseVersionedConfig(conflict.body, fault);
    ASSERT_TRUE(present) << fault;
    EXPECT_EQ(present->generation, 7U);
    EXPECT_EQ(present->documents.sites.at("north"), "x");
    EXPECT_EQ(boost::json::parse(conflict.body).at("error").at("code"), 601);
}

}
