#pragma once

#include "membership/member_table.h"
#include "membership/roles.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace carawaypoint::test
{

/// Daemons with real member tables on a virtual clock, connected by a simulated network with loss, delay and partitions.
class SimulatedFleet
{
public:
    struct Node {
        MemberRecord record;
        RandomGenerator random;
        std::unique_ptr<MemberTable> table;
        std::vector<Endpoint> seeds;
        bool isUp = false;
        TimePoint pausedUntil{};
        unsigned startNumber = 0; // incremented by start() and stop(); events with an earlier number are ignored
    };

    explicit SimulatedFleet(std::uint64_t seed, MemberTableOptions options = {})
        : options_(options)
        , random_(seed)
    {
    }

    static std::string name(int zone, int index)
    {
        return "d" + std::to_string(zone) + "-" + std::to_string(index);
    }

    /// Adds @p count members to zone @p zone, without starting them.
    void addZone(int zone, int count)
    {
        for (int i = 0; i < count; ++i) {
            Node node;
            node.record.id = MemberId(name(zone, i));
            node.record.zone = ZoneId("z" + std::to_string(zone));
            node.record.address = {"10.0." + std::to_string(zone) + "." + std::to_string(i), 1};
            nodes_.push_back(std::move(node));
        }
    }

    /// Starts all members, with the first two members of each zone as seeds.
    void startAll()
    {
        std::vector<Endpoint> seeds;
        std::map<ZoneId, int> seen;
        for (const auto &node : nodes_) {
            if (seen[node.record.zone]++ < 2) {
                seeds.push_back(node.record.address);
            }
        }
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            nodes_[i].seeds = seeds;
            start(i);
        }
    }

    void start(std::size_t index)
    {
        auto &node = nodes_[index];
        ++node.startNumber;
        node.isUp = true;
        node.record.process = ++nextProcess_;
        node.random.seed(random_());
        node.table = std::make_unique<MemberTable>(options_, node.record, node.random, now_);
        node.table->setSeeds(node.seeds);
        const auto startNumber = node.startNumber;
        at(now_ + milliseconds(random_() % 1000), [this, index, startNumber] { tickNode(index, startNumber); });
    }

    void stop(std::size_t index)
    {
        nodes_[index].isUp = false;
        ++nodes_[index].startNumber;
    }

    void pause(std::size_t index, Duration duration)
    {
        nodes_[index].pausedUntil = now_ + duration;
    }

    void at(TimePoint when, std::function<void()> action)
    {
        events_.push({when, ++sequence_, std::move(action)});
    }

    void run(Duration duration)
    {
        const auto end = now_ + duration;
        while (!events_.empty() && events_.top().when <= end) {
            auto event = events_.top();
            events_.pop();
            now_ = std::max(now_, event.when);
            event.action();
        }
        now_ = end;
    }

    void sendUrgentExchanges(std::size_t index)
    {
        for (auto &exchange : nodes_[index].table->takeUrgentExchanges(now_)) {
            send(index, std::move(exchange));
        }
    }

    MemberTable &table(std::size_t index)
    {
        return *nodes_[index].table;
    }
    std::vector<Node> &nodes()
    {
        return nodes_;
    }
    TimePoint now() const
    {
        return now_;
    }

    double loss = 0;
    Duration minDelay = microseconds(500);
    Duration maxDelay = milliseconds(2);
    Duration timeout = milliseconds(800);
    std::function<bool(const Node &, const Node &)> isCut = [](const auto &, const auto &) {
        return false;
    };
    std::function<void(std::size_t, TimePoint)> beforeTick = [](auto, auto) {
    };
    /// Called with every message, for measurements; returns the message as the receiver gets it.
    std::function<PeerMessage(std::size_t from, std::size_t to, PeerMessage)> carry = [](auto, auto, PeerMessage message) {
        return message;
    };

private:
    struct Event {
        TimePoint when;
        std::uint64_t sequence;
        std::function<void()> action;

        bool operator<(const Event &other) const
        {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    void tickNode(std::size_t index, unsigned startNumber)
    {
        auto &node = nodes_[index];
        if (node.startNumber != startNumber) {
            return;
        }
        if (node.pausedUntil > now_) {
            at(node.pausedUntil, [this, index, startNumber] { tickNode(index, startNumber); });
            return;
        }
        beforeTick(index, now_);
        for (auto &exchange : node.table->tick(now_)) {
            send(index, std::move(exchange));
        }
        sendUrgentExchanges(index);
        // Jitter of a twentieth keeps the members from ticking at the same time.
        const auto interval = node.table->tickInterval();
        at(now_ + interval * 19 / 20 + Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(interval.count() / 10))),
           [this, index, startNumber] { tickNode(index, startNumber); });
    }

    bool isLost(const Node &from, const Node &to)
    {
        return isCut(from, to) || std::uniform_real_distribution<>(0, 1)(random_) < loss;
    }

    Duration delay()
    {
        return minDelay + Duration(static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>((maxDelay - minDelay).count() + 1)));
    }

    /// Runs @p action at the node after the network delay and the end of a pause, unless it was stopped or restarted.
    void deliver(std::size_t index, unsigned startNumber, const std::function<void()> &action)
    {
        at(std::max(now_ + delay(), nodes_[index].pausedUntil), [this, index, startNumber, action] {
            if (nodes_[index].startNumber == startNumber) {
                action();
            }
        });
    }

    void send(std::size_t from, OutgoingExchange exchange)
    {
        std::size_t to = nodes_.size();
        for (std::size_t i = 0; i < nodes_.size(); ++i) {
            if (nodes_[i].isUp && nodes_[i].record.address == exchange.target.address) {
                to = i;
            }
        }
        const auto startNumber = nodes_[from].startNumber;
        auto isAnswered = std::make_shared<bool>(false);
        at(now_ + timeout, [this, from, startNumber, isAnswered, target = exchange.target] {
            if (!*isAnswered && nodes_[from].startNumber == startNumber) {
                *isAnswered = true;
                const auto when = std::max(now_, nodes_[from].pausedUntil);
                at(when, [this, from, startNumber, target] {
                    if (nodes_[from].startNumber == startNumber) {
                        nodes_[from].table->handleFailure(target, now_);
                    }
                });
            }
        });
        if (to == nodes_.size() || isLost(nodes_[from], nodes_[to])) {
            return;
        }
        auto request = std::make_shared<PeerMessage>(carry(from, to, std::move(exchange.message)));
        deliver(to, nodes_[to].startNumber, [this, from, to, startNumber, request, isAnswered, target = exchange.target] {
            auto response = std::make_shared<PeerMessage>(carry(to, from, nodes_[to].table->handleRequest(*request, now_)));
            if (isLost(nodes_[to], nodes_[from])) {
                return;
            }
            deliver(from, startNumber, [this, from, response, isAnswered, target] {
                if (!*isAnswered) {
                    *isAnswered = true;
                    nodes_[from].table->handleResponse(target, *response, now_);
                }
            });
        });
    }

    MemberTableOptions options_;
    RandomGenerator random_;
    std::vector<Node> nodes_;
    std::priority_queue<Event> events_;
    TimePoint now_{hours(1)};
    std::uint64_t sequence_ = 0;
    std::uint64_t nextProcess_ = 1000;
};

}
