#pragma once

#include "routing/admission_policy.h"

namespace carawaypoint
{

/// Baseline strategy: accepts every request.
class UnboundedAdmission : public AdmissionPolicy
{
public:
    AdmissionVerdict check(const AdmissionInput &input) const override;
    bool refusesUnmeetableDeadlines() const override;
};

}
