#pragma once

#include <array>
#include <memory>
#include <string_view>

namespace carawaypoint
{

template<typename Base, typename Strategy>
std::unique_ptr<Base> makeStrategy()
{
    return std::make_unique<Strategy>();
}

/// Maps strategy names in the configuration to factory functions.
template<typename Base, std::size_t Count>
struct StrategyTable {
    std::array<std::string_view, Count> names;
    std::array<std::unique_ptr<Base> (*)(), Count> factories;

    /// Creates the strategy called @p name; null for a name that is not in the table.
    std::unique_ptr<Base> make(std::string_view name) const
    {
        for (std::size_t i = 0; i < Count; ++i) {
            if (names[i] == name) {
                return factories[i]();
            }
        }
        return nullptr;
    }
};

}
