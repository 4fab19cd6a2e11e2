#pragma once

#include <utility>

namespace carawaypoint
{

/// Whether the store answers this gateway, judged by all of its calls together.
class StoreReachability
{
public:
    /// A call was answered, or a relay that receives answers sent a notice. Returns whether the store answers again after a failure.
    bool recordAnswer()
    {
        return !std::exchange(isAnswering_, true);
    }
    /// A call failed. Returns whether the store counts as lost from now on.
    bool recordFailure()
    {
        return std::exchange(isAnswering_, false);
    }
    bool isAnswering() const
    {
        return isAnswering_;
    }

private:
    bool isAnswering_ = true;
};

}
