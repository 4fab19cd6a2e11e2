#pragma once

#include "routing/dispatcher.h"
#include "serving/http_front_end.h"
#include "serving/serving_metrics.h"
#include "tests/support/test_sockets.h"

#include <gtest/gtest.h>

#include <array>
#include <set>

namespace carawaypoint
{

/// Dispatcher without a queue: grants the replicas at once, in the order in which they were added.
class FakeDispatcher : public Dispatcher
{
public:
    Ticket submit(const ModelRequest &request, GrantHandler handler) override;
    bool cancel(Ticket ticket) override;
    Ticket resubmit(Ticket ticket, std::span<const ReplicaId> excluded, GrantHandler handler) override;
    void reportProgress(Ticket ticket, std::uint32_t tokens) override;
    void finish(Ticket ticket, AttemptOutcome outcome, std::uint32_t tokens) override;
    void setSnapshot(RoutingSnapshotPtr snapshot) override;
    void tick() override;
    bool isEligible(const ReplicaId &replica, std::uint64_t incarnation) const override;
    Demand demand() const override;
    std::vector<std::uint64_t> takeCrashSuspects() override;
    void addPeerCrashSuspect(std::uint64_t fingerprint) override;

    std::vector<std::pair<ReplicaId, Endpoint>> replicas; // set before the front end starts
    ResultCode refusal = ResultCode::Ok; // result code of submit() when not Ok
    ResultCode retryRefusal = ResultCode::NoReplicaAvailable; // result code of resubmit() when every replica is excluded
    std::atomic<bool> holdsGrants = false; // submit() never calls its handler
    std::atomic<int> cancelled = 0;
    std::atomic<int> submitted = 0;
    std::set<std::string> ineligible;

    std::vector<AttemptOutcome> outcomes() const;

private:
    Ticket grant(std::span<const ReplicaId> excluded, ResultCode refusalCode, const GrantHandler &handler);
    mutable std::mutex mutex_;
    std::vector<AttemptOutcome> outcomes_;
    std::atomic<Ticket> tickets_ = 0;
};

class CountingMetrics : public ServingMetrics
{
public:
    void count(ServingEvent event, std::uint64_t amount) override
    {
        counts_.at(static_cast<std::size_t>(event)) += amount;
    }
    std::uint64_t countOf(ServingEvent event) const
    {
        return counts_.at(static_cast<std::size_t>(event));
    }

private:
    std::array<std::atomic<std::uint64_t>, 32> counts_{};
};

/// A front end with one model, two customers (one of them not allowed to use the model), and fakes for its dependencies.
class FrontEndFixture : public ::testing::Test
{
protected:
    FrontEndFixture();
    ~FrontEndFixture() override;

    /// Adds replica r<n> with the leader at @p endpoint.
    void addReplica(const Endpoint &endpoint);
    void startFrontEnd();
    TestConnection connect() const;
    TestMessage call(const std::string &request) const;
    TestMessage chat(bool isStreamed, const std::string &headers = "X-Customer: c\r\n") const;
    std::vector<ServerSignal::Kind> signals() const;

    SteadyClock clock_;
    FakeDispatcher dispatcher_;
    CountingMetrics metrics_;
    FrontEndSettings settings_;
    RoutingSnapshot snapshot_;
    FrontEndDependencies dependencies_;
    std::unique_ptr<HttpFrontEnd> frontEnd_;
    mutable std::mutex mutex_;
    std::vector<ServerSignal::Kind> signals_;
};

std::string chatRequest(bool isStreamed, const std::string &headers = "X-Customer: c\r\n");
std::string postText(const std::string &target, const std::string &headers, const std::string &body);

/// An engine's answer to a request, in the form of docs/interfaces.md.
struct EngineAnswer {
    static std::string head(const TestMessage &request);
    static std::string token(const TestMessage &request, unsigned index);
    static std::string finish(const TestMessage &request, unsigned tokens);
    static std::string chunk(const std::string &data);
    /// Tokens from X-Resume-From up to @p end, followed by the end of the answer when @p isComplete.
    static std::string tokens(const TestMessage &request, unsigned end, bool isComplete);
};

constexpr auto EndOfChunks = "0\r\n\r\n";

}
