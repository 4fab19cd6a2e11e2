#pragma once

namespace carawaypoint
{

/// Exponentially weighted moving average, initialised by the first sample.
class MovingAverage
{
public:
    /// @param weight weight of a new sample, 0 to 1.
    explicit MovingAverage(double weight = 0.1)
        : weight_(weight)
    {
    }

    void add(double sample)
    {
        value_ = hasValue_ ? value_ + weight_ * (sample - value_) : sample;
        hasValue_ = true;
    }

    bool hasValue() const
    {
        return hasValue_;
    }
    /// 0 before the first sample.
    double value() const
    {
        return value_;
    }

private:
    double weight_;
    double value_ = 0;
    bool hasValue_ = false;
};

}
