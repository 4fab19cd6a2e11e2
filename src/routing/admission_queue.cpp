#include "routing/admission_queue.h"

#include "routing/fifo_queue.h"

#include <algorithm>
#include <array>

namespace carawaypoint
{

namespace
{

using Factory = std::unique_ptr<AdmissionQueue> (*)();

template<typename T>
std::unique_ptr<AdmissionQueue> make()
{
    return std::make_unique<T>();
}

constexpr std::array Names{std::string_view("fifo")};
constexpr std::array<Factory, Names.size()> Factories{&make<FifoQueue>};

}

std::unique_ptr<AdmissionQueue> makeAdmissionQueue(std::string_view name)
{
    const auto found = std::find(Names.begin(), Names.end(), name);
    return found == Names.end() ? nullptr : Factories[static_cast<std::size_t>(found - Names.begin())]();
}

std::span<const std::string_view> admissionQueueNames()
{
    return Names;
}

}
