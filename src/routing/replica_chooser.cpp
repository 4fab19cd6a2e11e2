#include "routing/replica_chooser.h"

#include "routing/corrected_two_choices_chooser.h"
#include "routing/least_requests_chooser.h"
#include "routing/round_robin_chooser.h"
#include "routing/strategy_table.h"

namespace carawaypoint
{

namespace
{
constexpr StrategyTable<ReplicaChooser, 3> Table{
    {"round_robin", "least_requests", "corrected_two_choices"},
    {&makeStrategy<ReplicaChooser, RoundRobinChooser>, &makeStrategy<ReplicaChooser, LeastRequestsChooser>,
     &makeStrategy<ReplicaChooser, CorrectedTwoChoicesChooser>},
};
}

std::unique_ptr<ReplicaChooser> makeReplicaChooser(std::string_view name)
{
    return Table.make(name);
}

std::span<const std::string_view> replicaChooserNames()
{
    return Table.names;
}

}
