#pragma once

#include "routing/admission_policy.h"

namespace carawaypoint
{

/// Baseline: accepts everything.
class UnboundedAdmission : public AdmissionPolicy
{
public:
    AdmissionVerdict check(const AdmissionInput &input) const override;
    bool shedsHopeless() const override;
};

}
