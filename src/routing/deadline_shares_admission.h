#pragma once

#include "routing/admission_policy.h"

namespace carawaypoint
{

/// Refuses a request when its customer's share of the slots cannot serve it before its deadline.
class DeadlineSharesAdmission : public AdmissionPolicy
{
public:
    AdmissionVerdict check(const AdmissionInput &input) const override;
    bool refusesUnmeetableDeadlines() const override;
};

}
