// Failures that callers could notice, tested with real processes. Time limits only end tests that hang, except where a comment states a
// bound.

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

/// Members of the first replica of @p zone in the status of daemon 1, leader first.
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

// Guards against requests that are truncated, run twice or sent to a replica after one of its members was killed, and against a replica
// that is not repaired with a spare.
TEST(ServingFailure, failureOfReplicaMemberFailsNoRequest)
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
    EXPECT_TRUE(waitUntil(seconds(30), [&] { return cluster.completeReplicas(2) == 6; })) << json::serialize(cluster.status(2));
    const json::object audit = cluster.engineAudit();
    std::cout << json::serialize(audit) << '\n';
    // The observation bound is 3 s; a later dispatch to the broken replica means that a router ignored it.
    EXPECT_LE(numberOf(audit, "longest_broken_dispatch_ms"), 3000);
    EXPECT_EQ(numberOf(audit, "moved_out_of_serving"), 0);
}

// Guards against a graceful stop of a daemon that truncates or refuses requests, and against a daemon that is not ready after its
// restart. All daemons are replaced one after another under load.
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

// Guards against model requests that fail while the platform is down, and against non-repeatable calls that run without a claim.
TEST(ServingFailure, servingContinuesWithoutPlatform)
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
    // While a key cannot be looked up, an earlier request with it may have run, so "not-run" must not be reported.
    EXPECT_EQ(bookings.keysToldUnknown.size(), 10U);
    EXPECT_EQ(bookings.outcomes.count("503 claim_unavailable unknown"), 1U);
    EXPECT_TRUE(cluster.bookingExecutions().empty());
    cluster.setPlatformFault(R"({"outage":false})");
    booking.seed = 2;
    EXPECT_TRUE(waitUntil(seconds(20), [&] { return runBookings(booking, cluster.target()).keysToldCompleted.size() == 10; }));
}

// Guards against bookings that run twice or are reported with a wrong run state. Daemons are killed, one daemon is paused, answers of
// the platform and of the service are lost, and callers retry through other daemons.
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

// Guards against a request that crashes one replica after another while its caller retries it through all daemons.
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
    // Two crashes are needed to distinguish the request from others in its batch; a third can happen through another daemon before the
    // crash signals arrive there.
    EXPECT_LE(numberOf(audit, "crashes"), 3);
    EXPECT_EQ(last.status, 422U) << last.body;
    EXPECT_EQ(report.wrong(), 0U);
    EXPECT_EQ(report.whole(), report.count());
}

// Guards against requests that wait for ever on engine connections that stay open without sending data. All engines become unresponsive
// on their open connections.
TEST(ServingFailure, unresponsiveConnectionsAreReplaced)
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

// Guards against a drain of a backend server that truncates streams or leaves the server in its replica.
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

// Guards against failed requests when all VMs of a fabric domain are killed, and against replicas that are not restored after the VMs
// have restarted.
TEST(ServingFailure, lossOfFabricDomainFailsNoRequest)
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
    EXPECT_TRUE(waitUntil(seconds(60), [&] { return cluster.completeReplicas(1) == 6; })) << json::serialize(cluster.status(1));
}

}
