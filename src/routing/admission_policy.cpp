#include "routing/admission_policy.h"

#include "routing/deadline_shares_admission.h"
#include "routing/strategy_table.h"
#include "routing/unbounded_admission.h"

namespace carawaypoint
{

namespace
{
constexpr StrategyTable<AdmissionPolicy, 2> Table{
    {"unbounded", "deadline_shares"},
    {&makeStrategy<AdmissionPolicy, UnboundedAdmission>, &makeStrategy<AdmissionPolicy, DeadlineSharesAdmission>},
};
}

std::unique_ptr<AdmissionPolicy> makeAdmissionPolicy(std::string_view name)
{
    return Table.make(name);
}

std::span<const std::string_view> admissionPolicyNames()
{
    return Table.names;
}

}
