#include "gateway/object_list.h"

namespace carawaypoint
{

void ObjectList::replaceAll(std::span<const StoredObject> objects)
{
    objects_.clear();
    for (const auto &object : objects) {
        objects_.emplace(object.name, object);
    }
}

void ObjectList::apply(std::span<const ObjectEvent> changes)
{
    for (const auto &change : changes) {
        if (change.isRemoved) {
            objects_.erase(change.object.name);
        } else {
            objects_.insert_or_assign(change.object.name, change.object);
        }
    }
}

ChangeNotice ObjectList::notice(std::uint64_t revision) const
{
    ChangeNotice notice;
    notice.toRevision = revision;
    notice.isList = true;
    notice.changes.reserve(objects_.size());
    for (const auto &[name, object] : objects_) {
        notice.changes.push_back({object, false});
    }
    return notice;
}

}
