#include "load/load_generator.h"

#include "core/random.h"
#include "load/entry_balancer.h"
#include "load/load_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <thread>

namespace carawaypoint
{

namespace
{

/// Sends the planned requests of one thread.
class LoadWorker
{
public:
    /// @param balancer null: requests go to the entries in turn, ready or not.
    LoadWorker(const WorkloadOptions &workload, const LoadTarget &target, const EntryBalancer *balancer)
        : workload_(workload)
        , target_(target)
        , balancer_(balancer)
    {
    }

    /// @param number index of the request in the workload, which selects its entry.
    /// @param start time that the planned times of the workload count from.
    void add(PlannedRequest request, std::size_t number, TimePoint start)
    {
        auto timer = std::make_shared<boost::asio::steady_timer>(context_);
        const TimePoint planned = start + request.at;
        timer->expires_at(planned);
        timer->async_wait([this, timer, number, planned, request = std::move(request)](const boost::system::error_code &) {
            const Endpoint &entry = balancer_ ? balancer_->chooseEntry(number) : target_.entries[number % target_.entries.size()];
            auto client = std::make_shared<LoadClient>(context_, entry, workload_.model, request);
            client->run(planned, target_.timeout, [this](const LoadResult &result) { results_.push_back(result); });
        });
    }

    void run()
    {
        context_.run();
    }

    const std::vector<LoadResult> &results() const
    {
        return results_;
    }

private:
    const WorkloadOptions &workload_;
    const LoadTarget &target_;
    const EntryBalancer *balancer_;
    boost::asio::io_context context_{1};
    std::vector<LoadResult> results_;
};

std::chrono::milliseconds unixNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch());
}

/// Sends one call until its answer is successful, at most options.sends times.
ServiceCallResult sendUntilCompleted(const BookingOptions &options, const LoadTarget &target, std::uint32_t call, const std::string &key)
{
    ServiceCallResult result;
    for (std::uint32_t send = 0; send < options.sends; ++send) {
        const Endpoint &entry = target.entries[(call + send) % target.entries.size()];
        result = callService(entry, options.path, "customer-1", key, R"({"shift":)" + std::to_string(call) + "}", target.timeout);
        if (result.status >= 200 && result.status < 300) {
            break;
        }
    }
    return result;
}

}

LoadReport runLoad(const WorkloadOptions &workload, const LoadTarget &target)
{
    std::unique_ptr<EntryBalancer> balancer;
    if (target.skipsUnreadyEntries) {
        balancer = std::make_unique<EntryBalancer>(target.entries);
    }
    std::vector<std::unique_ptr<LoadWorker>> workers;
    for (unsigned index = 0; index < std::max(1U, target.threads); ++index) {
        workers.push_back(std::make_unique<LoadWorker>(workload, target, balancer.get()));
    }
    constexpr auto StartDelay = milliseconds(50); // lets all threads start before the first planned time
    const TimePoint start = SteadyClock().now() + StartDelay;
    std::size_t number = 0;
    for (auto &request : planWorkload(workload)) {
        workers[number % workers.size()]->add(std::move(request), number, start);
        ++number;
    }
    std::vector<std::thread> threads;
    threads.reserve(workers.size());
    for (const auto &worker : workers) {
        threads.emplace_back([&worker] { worker->run(); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
    LoadReport report;
    for (const auto &worker : workers) {
        for (const auto &result : worker->results()) {
            report.add(result);
        }
    }
    return report;
}

BookingReport runBookings(const BookingOptions &options, const LoadTarget &target)
{
    BookingReport report;
    std::mutex mutex;
    std::atomic<std::uint32_t> next = 0;
    const auto work = [&] {
        for (std::uint32_t call = next++; call < options.calls; call = next++) {
            RandomGenerator random(options.seed * 1'000'003 + call);
            const std::string key = makeTimeOrderedUuid(unixNow(), random(), random());
            const auto result = sendUntilCompleted(options, target, call, key);
            const std::scoped_lock lock(mutex);
            ++report.outcomes[std::to_string(result.status) + " " + result.resultCode + " " + result.runState];
            auto &keys = result.runState == "completed" ? report.keysToldCompleted
                : result.runState == "not-run"          ? report.keysToldNotRun
                                                        : report.keysToldUnknown;
            keys.push_back(key);
        }
    };
    std::vector<std::thread> threads;
    for (std::uint32_t index = 0; index < options.callers; ++index) {
        threads.emplace_back(work);
    }
    for (auto &thread : threads) {
        thread.join();
    }
    return report;
}

}
