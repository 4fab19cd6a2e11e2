#include "experiments/capacity.h"

namespace carawaypoint::experiments
{

namespace
{

constexpr Duration WarmUp = seconds(200);
constexpr Duration Measured = seconds(2000);

/// An engine whose batch is always full.
class SaturatedEngine
{
public:
    SaturatedEngine(const EngineSettings &settings, const Workload &mix)
        : engine_(loop_, settings)
        , mix_(mix)
    {
        for (std::uint32_t i = 0; i < 2 * settings.slots; ++i) {
            submitNext();
        }
    }

    double measureRate()
    {
        loop_.runUntil(loop_.now() + WarmUp);
        const std::uint64_t before = done_;
        loop_.runUntil(loop_.now() + Measured);
        return static_cast<double>(done_ - before) / std::chrono::duration<double>(Measured).count();
    }

private:
    void submitNext()
    {
        const Arrival &arrival = mix_[next_++ % mix_.size()];
        EngineRequest request;
        request.promptTokens = arrival.promptTokens;
        request.outputTokens = arrival.outputTokens;
        request.onToken = [](std::uint32_t) {
        };
        request.onDone = [this] {
            ++done_;
            submitNext();
        };
        engine_.submit(std::move(request));
    }

    EventLoop loop_;
    FakeEngine engine_;
    const Workload &mix_;
    std::size_t next_ = 0;
    std::uint64_t done_ = 0;
};

}

double saturatedRate(const EngineSettings &settings, const Workload &mix)
{
    return SaturatedEngine(settings, mix).measureRate();
}

}
