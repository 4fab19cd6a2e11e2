#include "routing/unbounded_admission.h"

namespace carawaypoint
{

AdmissionVerdict UnboundedAdmission::check(const AdmissionInput &) const
{
    return {};
}

bool UnboundedAdmission::refusesUnmeetableDeadlines() const
{
    return false;
}

}
