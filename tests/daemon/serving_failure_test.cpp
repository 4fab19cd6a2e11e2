// Failures that callers could notice, with real processes. Time limits are hang guards except where a comment states a bound.

#include "daemon/test_cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <future>

namespace carawaypoint
{

namespace
{

namespace json = boost::json;

WorkloadOptions steadyWorkload(double rate, Duration duration)
{
    WorkloadOptions workload;
    workload.rate = rate;
    workload.duration = duration;
    workload.shortTokens = 20;
    workload.longTokens = 300;
    return workload;
}

std::future<LoadReport> runLoadInBackground(const WorkloadOptions &workload, const LoadTarget &target)
{
    return std::async(std::launch::async, [workload, target] { return runLoad(workload, target); });
}

std::int64_t numberOf(const json::object &object, std::string_view key)
{
    return object.contains(key) ? object.at(key).to_number<std::int64_t>() : 0;
}

/// Members of a whole replica, leader first, as a daemon's status shows them.
std::vector<std::string> membersOfSomeReplica(const TestCluster &cluster, std::string_view zone)
{
    std::vector<std::string> members;
    const json::object status = cluster.status(1);
    for (const auto &replica : status.at("replicas").as_array()) {
        if (replica.as_object().at("zone").as_string() == zone && members.empty()) {
            for (const auto &member : replica.as_object().at("members").as_array()) {
                members.emplace_back(member.as_string());
            }
        }
    }
    return members;
}

std::string fault(std::string_view action, std::string_view vm)
{
    return json::serialize(json::object{{"action", action}, {"vm", vm}});
}

}

// Guards against requests that are cut, doubled or sent to a replica whose member has died, and against a replica that is
// not repaired with its spare.
TEST(ServingFailure, deathOfMemberIsHiddenFromCallers)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    auto load = runLoadInBackground(steadyWorkload(20, seconds(12)), cluster.target());
    std::this_thread::sleep_for(seconds(3));
    const auto members = membersOfSomeReplica(cluster, "z1");
    ASSERT_EQ(members.size(), 4U);
    cluster.setEngineFault(1, fault("kill", members[2]));
    const LoadReport report = load.get();
    std::cout << report.table();
    EXPECT_EQ(report.wrong(), 0U);
    EXPECT_EQ(report.whole(), report.count());
    EXPECT_TRUE(waitUntil(seconds(30), [&] { return cluster.wholeReplicas(2) == 6; })) << json::serialize(cluster.status(2));
    const json::object audit = cluster.engineAudit();
    std::cout << json::serialize(audit) << '\n';
    // The observation bound is 3 s; a dispatch after it would mean that a router ignored it.
    EXPECT_LE(numberOf(audit, "longest_broken_dispatch_ms"), 3000);
    EXPECT_EQ(numberOf(audit, "moved_out_of_serving"), 0);
}

// Guards against a planned stop of an entry that cuts or refuses requests, and against a daemon that does not come back.
TEST(ServingFailure, rollingReplacementOfAllEntriesFailsNoRequest)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    auto load = runLoadInBackground(steadyWorkload(10, seconds(45)), cluster.target());
    for (unsigned number = 1; number <= cluster.options().daemons; ++number) {
        cluster.signalDaemon(number, SIGTERM);
        EXPECT_EQ(cluster.waitForDaemon(number, seconds(30)), 0) << "daemon " << number;
        cluster.startDaemon(number);
        EXPECT_TRUE(waitUntil(seconds(20), [&] { return callHttp(cluster.entry(number), "GET", "/readyz").status == 200; })) << "daemon " << number;
    }
    const LoadReport report = load.get();
    std::cout << report.table();
    EXPECT_EQ(report.wrong(), 0U);
    EXPECT_EQ(report.whole(), report.count());
}

// Guards against serving that depends on the platform, and against non-idempotent calls that run without a claim.
TEST(ServingFailure, servingGoesOnWithoutPlatform)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    cluster.setPlatformFault(R"({"outage":true})");
    const LoadReport report = runLoad(steadyWorkload(20, seconds(15)), cluster.target());
    std::cout << report.table();
    EXPECT_EQ(report.whole(), report.count());
    BookingOptions booking;
    booking.calls = 10;
    booking.sends = 1;
    const BookingReport bookings = runBookings(booking, cluster.target());
    // A key that cannot be looked up may have been run by an earlier send, so that not-run would be a guess.
    EXPECT_EQ(bookings.keysToldUnknown.size(), 10U);
    EXPECT_EQ(bookings.outcomes.count("503 claim_unavailable unknown"), 1U);
    EXPECT_TRUE(cluster.bookingExecutions().empty());
    cluster.setPlatformFault(R"({"outage":false})");
    booking.seed = 2;
    EXPECT_TRUE(waitUntil(seconds(20), [&] { return runBookings(booking, cluster.target()).keysToldCompleted.size() == 10; }));
}

// Guards against bookings that run twice or are reported wrongly when daemons end, platform answers are lost, the service's
// answers are lost and a daemon is paused, while callers re-send through other entries.
TEST(ServingFailure, bookingsRunAtMostOnce)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    LoadTarget target = cluster.target();
    target.timeout = seconds(4);
    BookingOptions booking;
    booking.calls = 600;
    booking.callers = 16;
    cluster.setServiceFault(R"({"delay_ms":30})");
    auto calls = std::async(std::launch::async, [&] { return runBookings(booking, target); });
    for (unsigned round = 0; round < 4; ++round) {
        cluster.setPlatformFault(R"({"lose_write_answers":10})");
        cluster.setServiceFault(R"({"cut_after":5,"cut_before":5})");
        cluster.signalDaemon(2 + round, SIGKILL);
        cluster.signalDaemon(1, SIGSTOP);
        std::this_thread::sleep_for(milliseconds(700));
        cluster.signalDaemon(1, SIGCONT);
        cluster.startDaemon(2 + round);
        std::this_thread::sleep_for(milliseconds(700));
    }
    const BookingReport report = calls.get();
    for (const auto &[outcome, count] : report.outcomes) {
        std::cout << "outcome " << outcome << ": " << count << '\n';
    }
    auto executions = cluster.bookingExecutions();
    for (const auto &[key, count] : executions) {
        EXPECT_EQ(count, 1U) << key;
    }
    for (const auto &key : report.keysToldCompleted) {
        EXPECT_EQ(executions[key], 1U) << "told completed: " << key;
    }
    for (const auto &key : report.keysToldNotRun) {
        EXPECT_EQ(executions[key], 0U) << "told not-run: " << key;
    }
    EXPECT_GT(report.keysToldCompleted.size(), booking.calls / 2);
}

// Guards against a request that takes down one replica after another when its caller re-sends it through all entries.
TEST(ServingFailure, requestThatCrashesServersIsQuarantined)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    auto load = runLoadInBackground(steadyWorkload(10, seconds(10)), cluster.target());
    const std::string body = R"({"model":"assistant","messages":[{"role":"user","content":"CRASH-ENGINE now"}],"max_tokens":20,"stream":true})";
    for (unsigned round = 0; round < 2; ++round) {
        for (unsigned number = 1; number <= cluster.options().daemons; ++number) {
            callHttp(cluster.entry(number), "POST", "/v1/chat/completions", body, {{"X-Customer", "customer-2"}});
        }
    }
    const auto last = callHttp(cluster.entry(1), "POST", "/v1/chat/completions", body, {{"X-Customer", "customer-2"}});
    const LoadReport report = load.get();
    std::cout << report.table();
    const json::object audit = cluster.engineAudit();
    std::cout << json::serialize(audit) << '\n';
    // Two crashes are needed to tell the request from those that shared its batch; one more may be under way in another
    // daemon before the news arrives.
    EXPECT_LE(numberOf(audit, "crashes"), 3);
    EXPECT_EQ(last.status, 422U) << last.body;
    EXPECT_EQ(report.wrong(), 0U);
    EXPECT_EQ(report.whole(), report.count());
}

// Guards against callers that wait for good on a connection that went silent.
TEST(ServingFailure, silentConnectionsAreReplaced)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    auto load = runLoadInBackground(steadyWorkload(10, seconds(12)), cluster.target());
    std::this_thread::sleep_for(seconds(3));
    for (unsigned zone = 1; zone <= cluster.options().zones; ++zone) {
        for (unsigned domain = 1; domain <= cluster.options().domainsPerZone; ++domain) {
            cluster.setEngineFault(zone, R"({"action":"silence","domain":"d)" + std::to_string(domain) + "\"}");
        }
    }
    const LoadReport report = load.get();
    std::cout << report.table();
    EXPECT_EQ(report.wrong(), 0U);
    EXPECT_EQ(report.whole(), report.count());
}

// Guards against a drain of a backend server that cuts streams or leaves new work on it.
TEST(ServingFailure, drainOfBackendServerCutsNoStream)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    auto load = runLoadInBackground(steadyWorkload(10, seconds(20)), cluster.target());
    std::this_thread::sleep_for(seconds(2));
    const auto members = membersOfSomeReplica(cluster, "z1");
    ASSERT_EQ(members.size(), 4U);
    const std::string body = json::serialize(json::object{{"vm", members[0]}});
    bool isAccepted = false;
    for (unsigned number = 1; number <= cluster.options().daemons; ++number) {
        isAccepted = callHttp(cluster.admin(number), "POST", "/admin/drain", body).status == 200 || isAccepted;
    }
    EXPECT_TRUE(isAccepted);
    const LoadReport report = load.get();
    std::cout << report.table();
    EXPECT_EQ(report.wrong(), 0U);
    EXPECT_EQ(report.whole(), report.count());
    EXPECT_TRUE(waitUntil(seconds(30), [&] {
        const json::object status = cluster.status(1);
        for (const auto &vm : status.at("vms").as_array()) {
            if (vm.as_object().at("vm").as_string() == members[0]) {
                return vm.as_object().at("replica").as_string().empty();
            }
        }
        return false;
    })) << json::serialize(cluster.status(1));
}

// Guards against one dark fabric domain taking down more than its own replicas, and against replicas that do not come back.
TEST(ServingFailure, darkFabricDomainIsSurvived)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    auto load = runLoadInBackground(steadyWorkload(15, seconds(15)), cluster.target());
    std::this_thread::sleep_for(seconds(3));
    cluster.setEngineFault(2, R"({"action":"kill","domain":"d1"})");
    const LoadReport report = load.get();
    std::cout << report.table();
    EXPECT_EQ(report.wrong(), 0U);
    EXPECT_EQ(report.whole(), report.count());
    cluster.setEngineFault(2, R"({"action":"restart","domain":"d1"})");
    EXPECT_TRUE(waitUntil(seconds(60), [&] { return cluster.wholeReplicas(1) == 6; })) << json::serialize(cluster.status(1));
}

}
