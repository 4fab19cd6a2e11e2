// Cost of the membership protocol per daemon, measured with the real table and the real codec on a virtual clock.
//
//   membership_cost [seconds [least members]]     prints one row per fleet, strategy and zone count
//
// Bytes count both directions. Each message adds CallOverheadBytes for the call's framing and TCP/IP, since only its body is
// encoded here. CPU time is the thread's, over tables and codec of all daemons, and leaves out sockets and the RPC library.
#include "protocol/message_codec.h"
#include "simulated_fleet.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <ctime>
#include <malloc.h>

namespace carawaypoint
{

namespace
{

using test::SimulatedFleet;

// 100 exchanges over loopback with PeerService carried 272 bytes each beside the bodies, so 136 a message. 52 bytes of
// TCP/IP headers for the message and as much for an acknowledgement are assumed, not measured.
constexpr double CallOverheadBytes = 136 + 2 * 52;

constexpr double BudgetBytes = 11'000;
constexpr double BudgetCpuPercent = 4.8;
constexpr double BudgetMemory = 32e6;

struct Fleet {
    int members;
    int zones;
    int runners;
    int replicas;
};

struct Cost {
    double bytes = 0; // a second, mean over daemons
    double maxBytes = 0; // of the busiest daemon
    double cpuPercent = 0;
    double memory = 0;
    double stalePercent = 0; // of reads of servers of the own zone
    double foreignStalePercent = 0;
    double foreignOldest = 0; // seconds
};

double cpuSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

std::string vmName(int zone, int index)
{
    return "vm-z" + std::to_string(zone) + "-" + std::to_string(index);
}

class Measurement
{
public:
    Measurement(const Fleet &size, DisseminationStrategy strategy)
        : size_(size)
        , fleet_(7, tableOptions(strategy))
        , bytes_(static_cast<std::size_t>(size.members))
    {
    }

    Cost run(int seconds)
    {
        const auto heapBefore = mallinfo2().uordblks;
        for (int zone = 0; zone < size_.zones; ++zone) {
            fleet_.addZone(zone, size_.members / size_.zones + (zone < size_.members % size_.zones ? 1 : 0));
        }
        fleet_.maxDelay = milliseconds(2);
        fleet_.startAll();
        fleet_.run(carawaypoint::seconds(20));
        assignServers();
        fleet_.run(carawaypoint::seconds(40));
        fleet_.carry = [this](std::size_t from, std::size_t to, const PeerMessage &message) {
            return carry(from, to, message);
        };
        const auto begin = cpuSeconds();
        double excluded = 0;
        Cost cost;
        for (int i = 0; i < seconds; ++i) {
            fleet_.run(carawaypoint::seconds(1));
            const auto sampling = cpuSeconds();
            sample();
            excluded += cpuSeconds() - sampling;
        }
        const auto daemons = static_cast<double>(size_.members);
        cost.cpuPercent = (cpuSeconds() - begin - excluded) / seconds / daemons * 100;
        for (const auto bytes : bytes_) {
            cost.bytes += bytes / seconds / daemons;
            cost.maxBytes = std::max(cost.maxBytes, bytes / seconds);
        }
        cost.memory = static_cast<double>(mallinfo2().uordblks - heapBefore) / daemons;
        cost.stalePercent = 100.0 * static_cast<double>(stale_) / static_cast<double>(std::max<std::size_t>(reads_, 1));
        cost.foreignStalePercent = 100.0 * static_cast<double>(foreignStale_) / static_cast<double>(std::max<std::size_t>(foreignReads_, 1));
        cost.foreignOldest = foreignOldest_;
        return cost;
    }

private:
    static MemberTableOptions tableOptions(DisseminationStrategy strategy)
    {
        MemberTableOptions options;
        options.strategy = strategy;
        return options;
    }

    PeerMessage carry(std::size_t from, std::size_t to, const PeerMessage &message)
    {
        const auto encoded = encodeMessage(message);
        bytes_[from] += static_cast<double>(encoded.size()) + CallOverheadBytes;
        bytes_[to] += static_cast<double>(encoded.size()) + CallOverheadBytes;
        PeerMessage decoded;
        if (decodeMessage(encoded, decoded)) {
            std::fprintf(stderr, "a message of the table is malformed\n");
            std::exit(1);
        }
        return decoded;
    }

    void assignServers()
    {
        owned_.resize(fleet_.nodes().size());
        for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
            const auto zone = fleet_.nodes()[i].record.zone.str();
            for (int z = 0; z < size_.zones; ++z) {
                const auto count = size_.runners / size_.zones;
                for (int s = 0; zone == "z" + std::to_string(z) && s < count; ++s) {
                    const VmId vm(vmName(z, s));
                    if (fleet_.table(i).isProberOf(vm, fleet_.now())) {
                        owned_[i].push_back({vm, s % 4 == 0});
                    }
                }
            }
            round(i, fleet_.now() + milliseconds(static_cast<int>(i * 37 % 1000)));
        }
    }

    /// One probe round a second: leaders change their load, and the daemon its demand, every time.
    void round(std::size_t index, TimePoint start)
    {
        fleet_.at(start + milliseconds(250), [this, index, start] {
            auto &table = fleet_.table(index);
            for (const auto &[vm, isLeader] : owned_[index]) {
                ServerState state;
                state.fencing = {3, 7};
                state.isSeen = true;
                state.isLoaded = true;
                state.running = isLeader ? static_cast<std::uint16_t>(random_() % 9) : 0;
                state.tokensPerSecond = isLeader ? static_cast<std::uint32_t>(random_() % 400) : 0;
                table.setObservation(vm, state, fleet_.now());
            }
            table.markProbed(start);
            std::vector<KeyCount> customers;
            std::vector<KeyCount> replicas;
            for (std::uint32_t i = 0; i < 10; ++i) {
                customers.push_back({i, static_cast<std::uint16_t>(random_() % 50)});
            }
            for (int i = 0; i < std::min(size_.replicas, 30); ++i) {
                replicas.push_back(
                    {static_cast<std::uint32_t>(random_()) % static_cast<std::uint32_t>(size_.replicas), static_cast<std::uint16_t>(1 + random_() % 4)});
            }
            table.setDemand(std::move(customers), std::move(replicas));
            round(index, start + seconds(1));
        });
    }

    void sample()
    {
        for (std::size_t i = 0; i < fleet_.nodes().size(); i += 5) {
            for (const auto &server : fleet_.table(i).observations(fleet_.now())) {
                const auto age = fleet_.now() - server.lastSeen;
                const bool isForeign = server.zone != fleet_.nodes()[i].record.zone;
                (isForeign ? foreignReads_ : reads_) += 1;
                (isForeign ? foreignStale_ : stale_) += age > seconds(3) ? 1 : 0;
                if (isForeign) {
                    foreignOldest_ = std::max(foreignOldest_, static_cast<double>(age.count()) * 1e-6);
                }
            }
        }
    }

    Fleet size_;
    SimulatedFleet fleet_;
    RandomGenerator random_{3};
    std::vector<double> bytes_;
    std::vector<std::vector<std::pair<VmId, bool>>> owned_;
    std::size_t reads_ = 0;
    std::size_t stale_ = 0;
    std::size_t foreignReads_ = 0;
    std::size_t foreignStale_ = 0;
    double foreignOldest_ = 0;
};

const char *verdict(const Cost &cost)
{
    return cost.bytes > BudgetBytes || cost.maxBytes > BudgetBytes || cost.cpuPercent > BudgetCpuPercent || cost.memory > BudgetMemory ? "OVER" : "within";
}

void printRow(const char *name, const Fleet &size, const Cost &cost)
{
    std::printf("%-12s %4d %3d %5d %4d %9.0f %9.0f %8.3f %8.2f %9.4f %9.4f %7.1f %s\n", name, size.members, size.zones, size.runners, size.replicas, cost.bytes,
                cost.maxBytes, cost.cpuPercent, cost.memory / 1e6, cost.stalePercent, cost.foreignStalePercent, cost.foreignOldest, verdict(cost));
    std::fflush(stdout);
}

}

}

int main(int argc, char **argv)
{
    using namespace carawaypoint;
    const int duration = argc > 1 ? std::atoi(argv[1]) : 5;
    std::printf("budget: %.0f bytes/s, %.1f%% of a core, %.0f MB\n", BudgetBytes, BudgetCpuPercent, BudgetMemory / 1e6);
    std::printf("%-12s %4s %3s %5s %4s %9s %9s %8s %8s %9s %9s %7s\n", "strategy", "N", "Z", "S", "R", "bytes/s", "max", "cpu%", "MB", "stale%", "foreign%",
                "oldest");
    const Fleet sizes[] = {
        {7, 3, 65, 16},     {21, 3, 65, 16},     {42, 4, 325, 81},    {83, 1, 325, 81}, {83, 4, 325, 81},
        {166, 4, 650, 162}, {330, 4, 1300, 325}, {330, 8, 1300, 325}, {332, 4, 65, 16}, {332, 4, 1300, 325},
    };
    const int least = argc > 2 ? std::atoi(argv[2]) : 0;
    for (const auto &size : sizes) {
        if (size.members >= least) {
            printRow("changes", size, Measurement(size, DisseminationStrategy::ChangesOnly).run(duration));
        }
    }
    // full_state takes too long beyond this size; its messages grow with members and servers, so the cost is extrapolated.
    for (const auto &size : {sizes[0], sizes[1], sizes[2], sizes[4]}) {
        if (size.members < least) {
            continue;
        }
        printRow("full_state", size, Measurement(size, DisseminationStrategy::FullState).run(duration));
    }
    return 0;
}
