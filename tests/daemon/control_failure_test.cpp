// Failures of the control plane, tested with real processes. Time limits only end tests that hang, except where a comment states a bound.

#include "daemon/test_cluster.h"

#include <boost/json.hpp>
#include <gtest/gtest.h>

#include <csignal>
#include <fstream>
#include <future>
#include <sstream>

namespace carawaypoint
{

namespace
{

namespace json = boost::json;

// Target time from the acceptance of a configuration until it is in force at all daemons.
constexpr Duration InForceBound = seconds(5);

json::object parseObject(const std::string &text)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    return error || !value.is_object() ? json::object{} : value.as_object();
}

json::object currentConfig(const TestCluster &cluster, unsigned daemon)
{
    return parseObject(callHttp(cluster.admin(daemon), "GET", "/admin/config").body);
}

std::int64_t generationOf(const TestCluster &cluster, unsigned daemon)
{
    const json::object config = currentConfig(cluster, daemon);
    return config.contains("generation") ? config.at("generation").to_number<std::int64_t>() : -1;
}

/// The documents in force with a comment line added to the base document.
json::object changedDocuments(const TestCluster &cluster, std::string_view comment)
{
    json::object documents = currentConfig(cluster, 1).at("documents").as_object();
    documents["base"] = std::string(documents.at("base").as_string()) + "; " + std::string(comment) + "\n";
    return documents;
}

LocalHttpAnswer apply(const TestCluster &cluster, unsigned daemon, const json::object &documents, std::int64_t expected)
{
    return callHttp(cluster.admin(daemon), "POST", "/admin/config", json::serialize(json::object{{"documents", documents}, {"expected_generation", expected}}));
}

bool isInForceEverywhere(const TestCluster &cluster, std::int64_t generation)
{
    for (unsigned number = 1; number <= cluster.options().daemons; ++number) {
        if (generationOf(cluster, number) < generation) {
            return false;
        }
    }
    return true;
}

/// Epoch in the record of a domain of zone z1 on the platform.
std::uint64_t epochOf(const TestCluster &cluster, const std::string &domain)
{
    const json::object object = parseObject(callHttp(cluster.platform(1), "GET", "/v1/objects/domain/z1." + domain).body);
    return parseObject(std::string(object.at("value").as_string())).at("epoch").to_number<std::uint64_t>();
}

/// Number of the daemon that holds the lease of a domain of zone z1, by the record on the platform; 0 when there is none.
unsigned holderOf(const TestCluster &cluster, const std::string &domain)
{
    const json::object object = parseObject(callHttp(cluster.platform(1), "GET", "/v1/objects/domain/z1." + domain).body);
    const std::string value(object.at("value").as_string());
    const auto at = value.find("entry-");
    return at == std::string::npos ? 0 : static_cast<unsigned>(std::stoul(value.substr(at + 6)));
}

}

// Guards against two concurrent changes of the same generation that are both accepted, and against a configuration that reaches the
// last daemon too late.
TEST(ControlFailure, onlyOneOfTwoRacingOperatorsChangesTheConfiguration)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    const auto generation = generationOf(cluster, 1);
    const auto first = changedDocuments(cluster, "first");
    const auto second = changedDocuments(cluster, "second");
    auto firstAnswer = std::async(std::launch::async, [&] { return apply(cluster, 1, first, generation); });
    auto secondAnswer = std::async(std::launch::async, [&] { return apply(cluster, 5, second, generation); });
    const auto statuses = std::minmax({firstAnswer.get().status, secondAnswer.get().status});
    EXPECT_EQ(statuses.first, 200U);
    EXPECT_EQ(statuses.second, 409U);
    const auto start = std::chrono::steady_clock::now();
    EXPECT_TRUE(waitUntil(InForceBound, [&] { return isInForceEverywhere(cluster, generation + 1); }));
    std::cout << "in force at the last daemon after " << std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - start).count() << " ms\n";
}

// Guards against a return to an older configuration when the platform is restored from an older copy while a daemon is paused and
// another restarts.
TEST(ControlFailure, configurationNeverReverts)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    const auto generation = generationOf(cluster, 1);
    cluster.setPlatformFault(R"({"save":"old"})");
    cluster.signalDaemon(4, SIGSTOP);
    ASSERT_EQ(apply(cluster, 1, changedDocuments(cluster, "newer"), generation).status, 200U);
    ASSERT_TRUE(waitUntil(InForceBound, [&] { return generationOf(cluster, 7) > generation; }));
    cluster.setPlatformFault(R"({"restore":"old"})");
    cluster.signalDaemon(4, SIGCONT);
    cluster.signalDaemon(3, SIGKILL);
    cluster.startDaemon(3);
    EXPECT_TRUE(waitUntil(seconds(20), [&] { return callHttp(cluster.entry(3), "GET", "/readyz").status == 200; }));
    EXPECT_TRUE(waitUntil(seconds(20), [&] { return isInForceEverywhere(cluster, generation + 1); }));
    for (int check = 0; check < 50; ++check) {
        for (unsigned number = 1; number <= cluster.options().daemons; ++number) {
            ASSERT_GT(generationOf(cluster, number), generation) << "daemon " << number;
        }
        std::this_thread::sleep_for(milliseconds(50));
    }
    // The daemons must write the newer generation back to the platform, so that the next change can be based on it.
    EXPECT_TRUE(waitUntil(seconds(20), [&] { return apply(cluster, 2, changedDocuments(cluster, "newest"), generation + 1).status == 200; }));
    EXPECT_TRUE(waitUntil(seconds(20), [&] { return isInForceEverywhere(cluster, generation + 2); }));
}

// Guards against a daemon that, restarted in a zone cut off from the platform, serves without a configuration or with an old one. It
// must fetch the configuration from its peers.
TEST(ControlFailure, restartInZoneCutOffFromPlatformTakesPeersConfiguration)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    const auto generation = generationOf(cluster, 1);
    cluster.setPlatformFault(R"({"cut":[")" + cluster.platform(1).toString() + "\"]}");
    cluster.signalDaemon(1, SIGKILL);
    cluster.startDaemon(1);
    EXPECT_TRUE(waitUntil(seconds(30), [&] { return callHttp(cluster.entry(1), "GET", "/readyz").status == 200; }));
    EXPECT_GE(generationOf(cluster, 1), generation);
    WorkloadOptions workload;
    workload.rate = 10;
    workload.duration = seconds(5);
    LoadTarget target;
    target.entries = {cluster.entry(1)};
    const LoadReport report = runLoad(workload, target);
    std::cout << report.table();
    EXPECT_EQ(report.whole(), report.count());
}

// Guards against a VM that is moved out of a serving replica by outdated orders: the controller is paused until another daemon has
// taken over its lease, and the engines ignore fencing numbers.
TEST(ControlFailure, pausedControllerMovesNoServingVmOfEnginesThatIgnoreFencing)
{
    TestCluster::Options options;
    options.engineChecksFencing = false;
    TestCluster cluster(options);
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    const unsigned holder = holderOf(cluster, "d1");
    ASSERT_GT(holder, 0U);
    const auto epoch = epochOf(cluster, "d1");
    auto load = std::async(std::launch::async, [&] {
        WorkloadOptions workload;
        workload.rate = 10;
        workload.duration = seconds(35);
        return runLoad(workload, cluster.target());
    });
    cluster.setEngineFault(1, R"({"action":"kill","vm":"z1-d1-vm2"})");
    cluster.signalDaemon(holder, SIGSTOP);
    EXPECT_TRUE(waitUntil(seconds(30), [&] { return epochOf(cluster, "d1") > epoch; }));
    cluster.signalDaemon(holder, SIGCONT);
    const LoadReport report = load.get();
    std::cout << report.table();
    EXPECT_EQ(report.wrong(), 0U);
    EXPECT_TRUE(waitUntil(seconds(30), [&] { return cluster.completeReplicas(1) == 6; })) << json::serialize(cluster.status(1));
    const json::object audit = cluster.engineAudit();
    std::cout << json::serialize(audit) << '\n';
    EXPECT_EQ(audit.at("moved_out_of_serving").to_number<std::int64_t>(), 0);
}

// Guards against a repair that waits for the platform although the zone has a spare assigned: a replica member is killed while the
// zone is cut off from the platform.
TEST(ControlFailure, zoneCutOffFromPlatformRepairsReplicaWithSpare)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    cluster.setPlatformFault(R"({"cut":[")" + cluster.platform(1).toString() + "\"]}");
    std::this_thread::sleep_for(seconds(3));
    cluster.setEngineFault(1, R"({"action":"kill","vm":"z1-d1-vm2"})");
    EXPECT_TRUE(waitUntil(seconds(30), [&] { return cluster.completeReplicas(1) < 6; }));
    EXPECT_TRUE(waitUntil(seconds(40), [&] { return cluster.completeReplicas(1) == 6; })) << json::serialize(cluster.status(1));
    cluster.setPlatformFault(R"({"cut":[]})");
    std::this_thread::sleep_for(seconds(15));
    EXPECT_EQ(cluster.completeReplicas(1), 6U) << json::serialize(cluster.status(1));
    EXPECT_EQ(cluster.engineAudit().at("moved_out_of_serving").to_number<std::int64_t>(), 0);
}

// Guards against invalid input from operators, callers and the platform that crashes a daemon or takes effect.
TEST(ControlFailure, invalidInputChangesNothing)
{
    TestCluster cluster({});
    ASSERT_NO_FATAL_FAILURE(cluster.start());
    const auto generation = generationOf(cluster, 1);
    json::object documents = currentConfig(cluster, 1).at("documents").as_object();
    documents["base"] = std::string(documents.at("base").as_string()) + "[routing]\nno_such_key = 1\n";
    const auto refused = apply(cluster, 1, documents, generation);
    EXPECT_EQ(refused.status, 400U);
    EXPECT_NE(refused.body.find("no_such_key"), std::string::npos) << refused.body;
    EXPECT_EQ(callHttp(cluster.admin(1), "POST", "/admin/config", "not JSON").status, 400U);
    EXPECT_EQ(callHttp(cluster.entry(1), "POST", "/v1/chat/completions", "not JSON", {{"X-Customer", "customer-1"}}).status, 400U);
    EXPECT_EQ(callHttp(cluster.platform(1), "PUT", "/v1/objects/domain/z1.d1x", "not a record").status, 200U);
    EXPECT_EQ(callHttp(cluster.platform(1), "PUT", "/v1/objects/config/other", "not a configuration").status, 200U);
    std::this_thread::sleep_for(seconds(2));
    for (unsigned number = 1; number <= cluster.options().daemons; ++number) {
        EXPECT_EQ(generationOf(cluster, number), generation) << "daemon " << number;
        EXPECT_EQ(callHttp(cluster.entry(number), "GET", "/readyz").status, 200U) << "daemon " << number;
    }
}

}
