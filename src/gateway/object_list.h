#pragma once

#include "gateway/change_notice.h"

#include <map>
#include <span>
#include <string>

namespace carawaypoint
{

/// The registrations of all servers as they are in the store, from which a relay answers gateways that have no list or too old a one.
class ObjectList
{
public:
    void replaceAll(std::span<const StoredObject> objects);
    void apply(std::span<const ObjectEvent> changes);
    /// All registrations as a notice for @p revision.
    ChangeNotice notice(std::uint64_t revision) const;
    bool isEmpty() const
    {
        return objects_.empty();
    }

private:
    std::map<std::string, StoredObject> objects_; // by name
};

}
