// Measures the cost of the membership protocol per daemon, with the real member table and message codec on a virtual clock.
//
//   membership_cost [seconds [minimum members]]     prints one row per fleet size and strategy
//
// Bytes count both directions. Only the body of a message is encoded here, so each message adds CallOverheadBytes for the
// framing of the call and TCP/IP. CPU time is that of the thread, for the tables and the codec of all daemons, without sockets
// and the RPC library.
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

// A call over PeerService transfers 272 bytes in addition to the bodies (mean of 100 calls over loopback), 136 per message.
// Each message also has 52 bytes of TCP/IP headers, and an acknowledgement of 52 bytes.
constexpr double CallOverheadBytes = 136 + 2 * 52;

constexpr double BudgetBytes = 11'000;
constexpr double BudgetCpuPercent = 4.8;
constexpr double BudgetMemory = 32e6;

/// Size of a fleet.
struct FleetSize {
    int members; // daemons
    int zones;
    int servers;
    int replicas;
};

/// Cost of the protocol for a daemon, and the age of the observations that it reads.
struct Cost {
    double bytes = 0; // per second, mean over the daemons
    double maxBytes = 0; // per second, of the daemon with the most traffic
    double cpuPercent = 0; // of one core, mean over the daemons
    double memory = 0; // bytes of heap per daemon
    double stalePercent = 0; // of observations of servers in the daemon's zone that are older than 3 s
    double foreignStalePercent = 0; // the same for servers in other zones
    double foreignOldest = 0; // age of the oldest observation of a server in another zone, in seconds
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
    Measurement(const FleetSize &size, DisseminationStrategy strategy)
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
        assignServersToProbers();
        fleet_.run(carawaypoint::seconds(40));
        fleet_.carry = [this](std::size_t from, std::size_t to, const PeerMessage &message) {
            return encodeAndCount(from, to, message);
        };
        const auto startCpu = cpuSeconds();
        double samplingCpu = 0;
        Cost cost;
        for (int i = 0; i < seconds; ++i) {
            fleet_.run(carawaypoint::seconds(1));
            const auto samplingStart = cpuSeconds();
            sample();
            samplingCpu += cpuSeconds() - samplingStart;
        }
        const auto daemons = static_cast<double>(size_.members);
        cost.cpuPercent = (cpuSeconds() - startCpu - samplingCpu) / seconds / daemons * 100;
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

    /// Counts the encoded bytes at both daemons and returns the decoded message.
    PeerMessage encodeAndCount(std::size_t from, std::size_t to, const PeerMessage &message)
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

    void assignServersToProbers()
    {
        owned_.resize(fleet_.nodes().size());
        for (std::size_t i = 0; i < fleet_.nodes().size(); ++i) {
            const auto zone = fleet_.nodes()[i].record.zone.str();
            for (int z = 0; z < size_.zones; ++z) {
                const auto count = size_.servers / size_.zones;
                for (int s = 0; zone == "z" + std::to_string(z) && s < count; ++s) {
                    const VmId vm(vmName(z, s));
                    if (fleet_.table(i).isProberOf(vm, fleet_.now())) {
                        owned_[i].push_back({vm, s % 4 == 0});
                    }
                }
            }
            scheduleProbeRound(i, fleet_.now() + milliseconds(static_cast<int>(i * 37 % 1000)));
        }
    }

    /// Schedules a probe round each second, in which the load of all leaders and the demand of the daemon change.
    void scheduleProbeRound(std::size_t index, TimePoint start)
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
            table.recordProbeRound(start);
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
            scheduleProbeRound(index, start + seconds(1));
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

    FleetSize size_;
    SimulatedFleet fleet_;
    RandomGenerator random_{3};
    std::vector<double> bytes_; // by daemon
    std::vector<std::vector<std::pair<VmId, bool>>> owned_; // servers that each daemon probes, and whether each is a leader
    std::size_t reads_ = 0; // observations read of servers in the daemon's zone
    std::size_t stale_ = 0; // of these, older than 3 s
    std::size_t foreignReads_ = 0;
    std::size_t foreignStale_ = 0;
    double foreignOldest_ = 0;
};

const char *verdict(const Cost &cost)
{
    return cost.bytes > BudgetBytes || cost.maxBytes > BudgetBytes || cost.cpuPercent > BudgetCpuPercent || cost.memory > BudgetMemory ? "OVER" : "within";
}

void printRow(const char *name, const FleetSize &size, const Cost &cost)
{
    std::printf("%-12s %4d %3d %5d %4d %9.0f %9.0f %8.3f %8.2f %9.4f %9.4f %7.1f %s\n", name, size.members, size.zones, size.servers, size.replicas, cost.bytes,
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
    const FleetSize sizes[] = {
        {7, 3, 65, 16},     {21, 3, 65, 16},     {42, 4, 325, 81},    {83, 1, 325, 81}, {83, 4, 325, 81},
        {166, 4, 650, 162}, {330, 4, 1300, 325}, {330, 8, 1300, 325}, {332, 4, 65, 16}, {332, 4, 1300, 325},
    };
    const int minMembers = argc > 2 ? std::atoi(argv[2]) : 0;
    for (const auto &size : sizes) {
        if (size.members >= minMembers) {
            printRow("changes", size, Measurement(size, DisseminationStrategy::ChangesOnly).run(duration));
        }
    }
    // full_state takes too long for larger fleets. Its messages grow with members and servers, so the cost can be extrapolated.
    for (const auto &size : {sizes[0], sizes[1], sizes[2], sizes[4]}) {
        if (size.members < minMembers) {
            continue;
        }
        printRow("full_state", size, Measurement(size, DisseminationStrategy::FullState).run(duration));
    }
    return 0;
}
