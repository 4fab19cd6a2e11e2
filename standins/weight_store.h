#pragma once

#include <chrono>
#include <map>
#include <string>

namespace carawaypoint::standins
{

/// Simulates the rate-limited weight store. Loads in progress share its rate equally, up to the rate at which one VM can read.
class WeightStore
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// @param loadTime duration of a load when no other is in progress.
    /// @param parallelLoads number of concurrent loads that run at full speed; more share the rate.
    WeightStore(std::chrono::milliseconds loadTime, double parallelLoads)
        : loadTime_(loadTime)
        , parallelLoads_(parallelLoads)
    {
    }

    void startLoad(const std::string &vm)
    {
        progress_[vm] = 0;
    }

    void endLoad(const std::string &vm)
    {
        progress_.erase(vm);
    }

    /// Advances all loads by @p step of time.
    void advance(std::chrono::microseconds step)
    {
        const double share = progress_.empty() ? 1 : std::min(1.0, parallelLoads_ / static_cast<double>(progress_.size()));
        for (auto &[vm, progress] : progress_) {
            progress += share * std::chrono::duration<double>(step).count() / std::chrono::duration<double>(loadTime_).count();
        }
    }

    /// Returns the progress of a load, 0 to 1; 1 for a VM that is not loading.
    double progress(const std::string &vm) const
    {
        const auto found = progress_.find(vm);
        return found == progress_.end() ? 1 : std::min(1.0, found->second);
    }

private:
    std::chrono::milliseconds loadTime_;
    double parallelLoads_;
    std::map<std::string, double> progress_; // 0 to 1, by VM
};

}
