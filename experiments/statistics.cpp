#include "experiments/statistics.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace carawaypoint::experiments
{

SampleSummary summarize(const std::vector<double> &values)
{
    if (values.empty()) {
        return {};
    }
    const auto [minimum, maximum] = std::minmax_element(values.begin(), values.end());
    return {meanOf(values), *minimum, *maximum};
}

double quantile(std::vector<double> values, double q)
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
    const auto position = values.begin() + static_cast<std::ptrdiff_t>(std::clamp<std::size_t>(rank, 1, values.size()) - 1);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

double meanOf(const std::vector<double> &values)
{
    return values.empty() ? 0 : std::accumulate(values.begin(), values.end(), 0.0) / static_cast<double>(values.size());
}

}
