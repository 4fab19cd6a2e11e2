#include "load/workload.h"

#include "core/random.h"

#include <array>
#include <cstdio>

namespace carawaypoint
{

namespace
{

double rateAt(const WorkloadOptions &options, double second)
{
    if (options.peakRate <= 0) {
        return options.rate;
    }
    const double start = std::chrono::duration<double>(options.peakStart).count();
    const double ramp = std::chrono::duration<double>(options.peakRampTime).count();
    const double end = start + std::chrono::duration<double>(options.peakDuration).count();
    if (second < start || second >= end) {
        return options.rate;
    }
    const double rampFraction = ramp <= 0 ? 1 : std::min(1.0, (second - start) / ramp);
    return options.rate + (options.peakRate - options.rate) * rampFraction;
}

std::string makePrompt(const WorkloadOptions &options, std::size_t number, std::uint64_t prefix, std::uint32_t tokens)
{
    std::string prompt = "Shared instructions number " + std::to_string(prefix % std::max(1U, options.sharedPrefixes));
    prompt.resize(64, '.');
    return prompt + " request " + std::to_string(options.seed) + "-" + std::to_string(number) + " tokens=" + std::to_string(tokens) + " ";
}

}

std::vector<PlannedRequest> planWorkload(const WorkloadOptions &options)
{
    RandomGenerator random(options.seed);
    std::uniform_real_distribution<double> uniform(0, 1);
    std::uniform_int_distribution<std::uint32_t> anyCustomer(1, std::max(1U, options.customers));
    const double highest = std::max(options.rate, options.peakRate);
    std::exponential_distribution<double> gap(highest);
    const double end = std::chrono::duration<double>(options.duration).count();

    std::vector<PlannedRequest> requests;
    for (double at = gap(random); at < end; at += gap(random)) {
        // Generates a Poisson process with a varying rate by thinning one at the highest rate.
        const double rate = rateAt(options, at);
        if (uniform(random) * highest > rate) {
            continue;
        }
        PlannedRequest request;
        request.at = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(at));
        const bool isAddedByPeak = uniform(random) * rate > options.rate;
        const bool isFirstCustomer = isAddedByPeak && uniform(random) < options.peakCustomerShare;
        request.customer = CustomerId("customer-" + std::to_string(isFirstCustomer ? 1 : anyCustomer(random)));
        request.isLong = uniform(random) < options.longShare;
        request.maxTokens = request.isLong ? options.longTokens : options.shortTokens;
        request.prompt = makePrompt(options, requests.size(), random(), request.maxTokens);
        requests.push_back(std::move(request));
    }
    return requests;
}

std::string makeTimeOrderedUuid(std::chrono::milliseconds unixTime, std::uint64_t randomHigh, std::uint64_t randomLow)
{
    const auto time = static_cast<std::uint64_t>(unixTime.count());
    std::array<char, 37> text{};
    std::snprintf(text.data(), text.size(), "%08x-%04x-7%03x-%04x-%012llx", static_cast<unsigned>(time >> 16), static_cast<unsigned>(time & 0xffff),
                  static_cast<unsigned>(randomHigh & 0xfff), static_cast<unsigned>(0x8000 | ((randomHigh >> 12) & 0x3fff)),
                  static_cast<unsigned long long>(randomLow & 0xffffffffffffULL));
    return text.data();
}

}
