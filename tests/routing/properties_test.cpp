#include "routing/eligibility.h"
#include "routing/fair_shares.h"
#include "routing_fixture.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <numeric>

namespace carawaypoint
{

namespace
{

enum class Operation : std::uint8_t {
    Submit,
    SubmitLong,
    Finish,
    LoseReplica,
    Cancel,
    Advance,
    ChangeMemberLoad,
    Refresh,
};

/// Applies random operations to a dispatcher and checks each decision when the dispatcher makes it.
class RandomOperationRun
{
public:
    explicit RandomOperationRun(const std::string &choice, const std::string &order)
    {
        fixture_.snapshot.policy.replicaChoice = choice;
        fixture_.snapshot.policy.queueOrder = order;
        for (const char *name : {"r1", "r2", "r3"}) {
            fixture_.addReplica(name, 3);
        }
        fixture_.publish();
    }

    void apply(Operation operation, std::uint32_t value)
    {
        switch (operation) {
        case Operation::Submit:
        case Operation::SubmitLong:
            submit(value, operation == Operation::SubmitLong);
            break;
        case Operation::Finish:
        case Operation::LoseReplica:
            finishOne(value, operation == Operation::Finish ? AttemptOutcome::Completed : AttemptOutcome::ReplicaLost);
            break;
        case Operation::Cancel:
            cancelOne(value);
            break;
        case Operation::Advance:
            fixture_.clock.advance(milliseconds(value % 700));
            fixture_.dispatcher->tick();
            break;
        case Operation::ChangeMemberLoad:
            fixture_.snapshot.replicas[value % 3].members[value % 2].isLoaded = value % 5 != 0;
            fixture_.publish();
            break;
        case Operation::Refresh:
            fixture_.refresh();
            break;
        }
        checkSlots();
    }

    /// Checks that after the last deadline every request got one decision, or none if it was cancelled.
    void checkAllDecided()
    {
        fixture_.clock.advance(seconds(10));
        fixture_.dispatcher->tick();
        for (const auto &request : requests_) {
            RC_ASSERT(request->decisions == (request->isCancelled ? 0 : 1));
        }
    }

private:
    struct Request {
        Dispatcher::Ticket ticket = 0;
        TimePoint deadline;
        int decisions = 0;
        bool isGranted = false;
        bool isCancelled = false;
        bool isFinished = false;
    };

    void submit(std::uint32_t value, bool isLong)
    {
        ModelRequest model = fixture_.request("customer-" + std::to_string(value % 3));
        model.maxTokens = isLong ? 4000 : 20;
        model.fingerprint = value % 7;
        model.deadline = fixture_.clock.now() + milliseconds(value % 3000);
        auto request = std::make_shared<Request>();
        request->deadline = model.deadline;
        requests_.push_back(request);
        request->ticket = fixture_.dispatcher->submit(model, [this, request](const DispatchDecision &decision) { check(*request, decision); });
    }

    void check(Request &request, const DispatchDecision &decision)
    {
        RC_ASSERT(++request.decisions == 1);
        if (decision.code != ResultCode::Ok) {
            return;
        }
        request.isGranted = true;
        RC_ASSERT(fixture_.clock.now() <= request.deadline);
        const auto &replicas = fixture_.snapshot.replicas;
        const auto found = std::find_if(replicas.begin(), replicas.end(), [&](const ReplicaView &view) { return view.id == decision.replica; });
        RC_ASSERT(found != replicas.end());
        RC_ASSERT(isReplicaEligible(*found, fixture_.clock.now(), fixture_.snapshot.policy.observationBound));
    }

    void finishOne(std::uint32_t value, AttemptOutcome outcome)
    {
        for (std::size_t i = 0; i < requests_.size(); ++i) {
            Request &request = *requests_[(value + i) % requests_.size()];
            if (request.isGranted && !request.isFinished) {
                request.isFinished = true;
                fixture_.dispatcher->finish(request.ticket, outcome, value % 50);
                return;
            }
        }
    }

    void cancelOne(std::uint32_t value)
    {
        if (requests_.empty()) {
            return;
        }
        Request &request = *requests_[value % requests_.size()];
        const bool wasWaiting = request.decisions == 0 && !request.isCancelled;
        const bool isCancelled = fixture_.dispatcher->cancel(request.ticket);
        RC_ASSERT(isCancelled == wasWaiting);
        request.isCancelled = request.isCancelled || isCancelled;
    }

    void checkSlots()
    {
        std::uint32_t total = 0;
        for (const auto &[replica, count] : fixture_.dispatcher->demand().inFlight) {
            RC_ASSERT(count <= 3U);
            total += count;
        }
        const auto held = std::count_if(requests_.begin(), requests_.end(), [](const auto &request) { return request->isGranted && !request->isFinished; });
        RC_ASSERT(total == static_cast<std::uint32_t>(held));
    }

    RoutingFixture fixture_;
    std::vector<std::shared_ptr<Request>> requests_;
};

void checkRandomRun(const std::string &choice, const std::string &order)
{
    RandomOperationRun run(choice, order);
    const auto operations =
        *rc::gen::container<std::vector<std::pair<int, std::uint32_t>>>(rc::gen::pair(rc::gen::inRange(0, 8), rc::gen::inRange<std::uint32_t>(0, 100000)));
    for (const auto &[operation, value] : operations) {
        run.apply(static_cast<Operation>(operation), value);
    }
    run.checkAllDecided();
}

/// Runs a property with a fixed seed, so that every run checks the same cases.
template<typename Testable>
void checkWithFixedSeed(const std::string &description, Testable &&testable)
{
    rc::detail::TestParams params;
    params.seed = 20261204;
    params.maxSuccess = 300;
    params.maxSize = 200;
    const auto result = rc::detail::checkTestable(std::forward<Testable>(testable), rc::detail::TestMetadata{description, description}, params);
    std::ostringstream text;
    rc::detail::printResultMessage(result, text);
    EXPECT_TRUE(result.template is<rc::detail::SuccessResult>()) << text.str();
}

}

// Under any order of operations, each request gets exactly one decision, no grant comes after its deadline or goes to an
// ineligible replica, and the slot counts match the granted requests.
TEST(DispatcherProperties, holdForDefaultPolicies)
{
    checkWithFixedSeed("chosen", [] { checkRandomRun("corrected_two_choices", "short_first"); });
}

// The baseline strategies can be selected in production and have to meet the same conditions.
TEST(DispatcherProperties, holdForBaselines)
{
    checkWithFixedSeed("round robin", [] { checkRandomRun("round_robin", "fifo"); });
    checkWithFixedSeed("least requests", [] { checkRandomRun("least_requests", "fifo"); });
}

// Guards against shares that do not sum to the capacity or total demand, and against a share above its demand.
TEST(WeightedSharesProperties, sumToCapacityOrDemand)
{
    checkWithFixedSeed("shares", [] {
        const auto capacity = *rc::gen::inRange(0, 1000);
        const auto numbers = *rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(rc::gen::inRange(1, 10), rc::gen::inRange(0, 300)));
        std::vector<WeightedDemand> demands;
        double demand = 0;
        for (const auto &[weight, wanted] : numbers) {
            demands.push_back({static_cast<double>(weight), static_cast<double>(wanted)});
            demand += wanted;
        }
        const std::vector<double> shares = weightedShares(capacity, demands);
        const double sum = std::accumulate(shares.begin(), shares.end(), 0.0);
        RC_ASSERT(std::abs(sum - std::min<double>(capacity, demand)) < 1e-6);
        for (std::size_t i = 0; i < demands.size(); ++i) {
            RC_ASSERT(shares[i] <= demands[i].demand + 1e-9);
        }
    });
}

}
