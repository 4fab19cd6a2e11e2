#include "core/memory_budget.h"

namespace carawaypoint
{

MemoryBudget::Reservation::~Reservation()
{
    budget_.used_ -= bytes_;
}

bool MemoryBudget::Reservation::resize(std::size_t bytes)
{
    const auto others = budget_.used_ - bytes_;
    if (bytes > bytes_ && bytes > budget_.limit_ - others) {
        return false;
    }
    budget_.used_ = others + bytes;
    bytes_ = bytes;
    return true;
}

}
