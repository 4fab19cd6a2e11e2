#include "routing/replica_chooser.h"

#include "routing/least_requests_chooser.h"
#include "routing/round_robin_chooser.h"

#include <algorithm>
#include <array>

namespace carawaypoint
{

namespace
{

using Factory = std::unique_ptr<ReplicaChooser> (*)();

template<typename T>
std::unique_ptr<ReplicaChooser> make()
{
    return std::make_unique<T>();
}

constexpr std::array Names{std::string_view("round_robin"), std::string_view("least_requests")};
constexpr std::array<Factory, Names.size()> Factories{&make<RoundRobinChooser>, &make<LeastRequestsChooser>};

}

std::unique_ptr<ReplicaChooser> makeReplicaChooser(std::string_view name)
{
    const auto found = std::find(Names.begin(), Names.end(), name);
    return found == Names.end() ? nullptr : Factories[static_cast<std::size_t>(found - Names.begin())]();
}

std::span<const std::string_view> replicaChooserNames()
{
    return Names;
}

}
