#include "routing/admission_queue.h"

#include "routing/fifo_queue.h"
#include "routing/short_first_queue.h"
#include "routing/strategy_table.h"

namespace carawaypoint
{

namespace
{
constexpr StrategyTable<AdmissionQueue, 2> Table{
    {"fifo", "short_first"},
    {&makeStrategy<AdmissionQueue, FifoQueue>, &makeStrategy<AdmissionQueue, ShortFirstQueue>},
};
}

std::unique_ptr<AdmissionQueue> makeAdmissionQueue(std::string_view name)
{
    return Table.make(name);
}

std::span<const std::string_view> admissionQueueNames()
{
    return Table.names;
}

}
