#pragma once

#include <chrono>
#include <map>
#include <string>

namespace carawaypoint::standins
{

/// The rate-limited weight store: loads in progress share its rate equally, and one load is never faster than a VM can read.
class WeightStore
{
public:
    using Time = std::chrono::steady_clock::time_point;

    /// @param loadTime of one VM that reads alone.
    /// @param parallelLoads loads that run at full speed at once; more share the rate.
    WeightStore(std::chrono::milliseconds loadTime, double parallelLoads)
        : loadTime_(loadTime)
        , parallelLoads_(parallelLoads)
    {
    }

    void begin(const std::string &vm)
    {
        progress_[vm] = 0;
    }

    void end(const std::string &vm)
    {
        progress_.erase(vm);
    }

    /// Moves all loads on by @p step.
    void advance(std::chrono::microseconds step)
    {
        const double share = progress_.empty() ? 1 : std::min(1.0, parallelLoads_ / static_cast<double>(progress_.size()));
        for (auto &[vm, progress] : progress_) {
            progress += share * std::chrono::duration<double>(step).count() / std::chrono::duration<double>(loadTime_).count();
        }
    }

    /// 0 to 1; 1 for a VM that is not loading.
    double progress(const std::string &vm) const
    {
        const auto found = progress_.find(vm);
        return found == progress_.end() ? 1 : std::min(1.0, found->second);
    }

private:
    std::chrono::milliseconds loadTime_;
    double parallelLoads_;
    std::map<std::string, double> progress_;
};

}
