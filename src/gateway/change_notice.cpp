#include "gateway/change_notice.h"

#include "gateway/change_notice.capnp.h"
#include "protocol/packed_message.h"

#include <capnp/message.h>
#include <capnp/serialize-packed.h>
#include <kj/io.h>

#include <algorithm>
#include <chrono>

namespace carawaypoint
{

namespace
{

std::vector<std::byte> encodeWith(const ChangeNotice &notice, std::span<const ObjectEvent> changes, bool isComplete)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::ChangeNotice>();
    root.setFromRevision(notice.fromRevision);
    root.setToRevision(notice.toRevision);
    root.setConfigVersion(notice.configVersion);
    const auto unsettled = std::chrono::duration_cast<milliseconds>(notice.remainingDeferral).count();
    root.setUnsettledMs(static_cast<std::uint32_t>(std::max<std::int64_t>(0, unsettled)));
    root.setIsComplete(isComplete);
    auto list = root.initChanges(static_cast<unsigned>(changes.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setName(changes[i].object.name);
        list[i].setVersion(changes[i].object.version);
        list[i].setIsRemoved(changes[i].isRemoved);
        list[i].setValue(changes[i].object.value);
    }
    return packMessage(message);
}

}

std::vector<std::byte> encodeNotice(const ChangeNotice &notice)
{
    auto bytes = encodeWith(notice, notice.changes, notice.isComplete);
    return bytes.size() <= MaxNoticeBytes ? bytes : encodeWith(notice, {}, false);
}

std::optional<ChangeNotice> decodeNotice(std::span<const std::byte> bytes)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(in);
        const auto root = message.getRoot<wire::ChangeNotice>();
        ChangeNotice notice;
        notice.fromRevision = root.getFromRevision();
        notice.toRevision = root.getToRevision();
        notice.configVersion = root.getConfigVersion();
        notice.remainingDeferral = milliseconds(root.getUnsettledMs());
        notice.isComplete = root.getIsComplete();
        for (const auto change : root.getChanges()) {
            ObjectEvent event;
            event.object.name = change.getName().cStr();
            event.object.version = change.getVersion();
            event.object.value = change.getValue().cStr();
            event.isRemoved = change.getIsRemoved();
            notice.changes.push_back(std::move(event));
        }
        return notice;
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

}
