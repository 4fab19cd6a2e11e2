#include "config/effective_config.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

template<typename Items, typename Member, typename Key>
auto findBy(const Items &items, Member member, const Key &key)
{
    const auto found = std::find_if(items.begin(), items.end(), [&](const auto &item) { return item.*member == key; });
    return found == items.end() ? nullptr : &*found;
}

}

const ModelSettings *EffectiveConfig::findModel(const ModelId &id) const
{
    return findBy(models, &ModelSettings::id, id);
}

const CustomerSettings *EffectiveConfig::findCustomer(const CustomerId &id) const
{
    return findBy(customers, &CustomerSettings::id, id);
}

const ServiceSettings *EffectiveConfig::findService(const ServiceId &id) const
{
    return findBy(services, &ServiceSettings::id, id);
}

const PoolSettings *EffectiveConfig::findPool(std::string_view name) const
{
    return findBy(pools, &PoolSettings::name, name);
}

}
