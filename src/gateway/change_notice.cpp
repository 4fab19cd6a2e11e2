#include "gateway/change_notice.h"

#include "core/delta_compression.h"
#include "gateway/change_notice.capnp.h"
#include "objects/store_version.h"
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

/// A notice of a valid size does not expand to more than this.
constexpr std::size_t MaxExpandedBytes = std::size_t{4} * 1024 * 1024;
/// Part of a datagram for the fields of a notice other than its changes or its configuration update.
constexpr std::size_t HeaderBytes = 256;
constexpr std::size_t MaxContentBytes = MaxNoticeBytes - HeaderBytes;
/// Longer messages would overflow the queue of a slow link.
constexpr std::size_t MaxFragmentedBytes = std::size_t{512} * 1024;
/// No gateway defers removals for longer. A malformed notice must not keep servers that are gone.
constexpr Duration MaxDeferral = seconds(10);

capnp::Data::Reader toData(std::span<const std::byte> bytes)
{
    return {reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()};
}

std::span<const std::byte> fromData(capnp::Data::Reader data)
{
    return {reinterpret_cast<const std::byte *>(data.begin()), data.size()};
}

void writeChanges(wire::ChangeNotice::Builder root, std::span<const ObjectEvent> changes)
{
    auto list = root.initChanges(static_cast<unsigned>(changes.size()));
    for (unsigned i = 0; i < list.size(); ++i) {
        list[i].setName({changes[i].object.name.c_str(), changes[i].object.name.size()});
        list[i].setVersion(changes[i].object.version);
        list[i].setIsRemoved(changes[i].isRemoved);
        list[i].setValue(changes[i].object.value);
    }
}

/// Registrations of servers resemble each other, so that many of them compress to a fraction of their size.
std::optional<std::vector<std::byte>> packChanges(std::span<const ObjectEvent> changes)
{
    capnp::MallocMessageBuilder message;
    writeChanges(message.initRoot<wire::ChangeNotice>(), changes);
    const auto packed = packMessage(message);
    return compressDelta({reinterpret_cast<const char *>(packed.data()), packed.size()}, {});
}

std::vector<ObjectEvent> readChanges(wire::ChangeNotice::Reader root)
{
    std::vector<ObjectEvent> changes;
    for (const auto change : root.getChanges()) {
        ObjectEvent event;
        event.object.name.assign(change.getName().begin(), change.getName().size()); // may contain any byte
        event.object.version = change.getVersion();
        event.object.value = change.getValue().cStr();
        event.isRemoved = change.getIsRemoved();
        changes.push_back(std::move(event));
    }
    return changes;
}

kj::ArrayPtr<const kj::byte> toArray(std::string_view text)
{
    return kj::arrayPtr(reinterpret_cast<const kj::byte *>(text.data()), text.size());
}

std::vector<std::byte> encodePart(const ChangeNotice &notice, const std::optional<std::vector<std::byte>> &packedChanges)
{
    capnp::MallocMessageBuilder message;
    auto root = message.initRoot<wire::ChangeNotice>();
    root.setFromRevision(notice.fromRevision);
    root.setToRevision(notice.toRevision);
    root.setConfigVersion(notice.configVersion);
    const auto unsettled = std::chrono::duration_cast<milliseconds>(notice.remainingDeferral).count();
    root.setUnsettledMs(static_cast<std::uint32_t>(std::max<std::int64_t>(0, unsettled)));
    // Gateways of earlier versions do not read packed changes and must fetch them from the store.
    root.setIsComplete(notice.isComplete && notice.changes.empty());
    root.setIsList(notice.isList);
    if (packedChanges) {
        root.setPackedChanges(toData(*packedChanges));
    }
    if (notice.configUpdate) {
        auto update = root.initConfigUpdate();
        update.setBaseVersion(notice.configUpdate->baseVersion);
        update.setVersion(notice.configUpdate->version);
        update.setDelta(toData(notice.configUpdate->delta));
    }
    return packMessage(message);
}

/// Index of the change nearest to the middle before which the changes may be divided: later changes must have higher versions than all
/// before. Returns 0 when there is none.
std::size_t findDivision(std::span<const ObjectEvent> changes)
{
    std::size_t division = 0;
    std::uint64_t highest = 0;
    for (std::size_t index = 0; index < changes.size(); ++index) {
        const bool mayDivide = index > 0 && changes[index].object.version > highest;
        const bool isBeforeMiddle = index <= changes.size() / 2;
        if (mayDivide && (isBeforeMiddle || division == 0)) {
            division = index;
        }
        highest = std::max(highest, changes[index].object.version);
    }
    return division;
}

void encodeParts(const ChangeNotice &notice, std::vector<std::vector<std::byte>> &parts)
{
    const auto packed = notice.changes.empty() ? std::nullopt : packChanges(notice.changes);
    if (notice.changes.empty() || (packed && packed->size() <= MaxContentBytes)) {
        parts.push_back(encodePart(notice, packed));
        return;
    }
    const auto division = findDivision(notice.changes);
    if (division == 0) {
        auto truncated = notice;
        truncated.changes.clear();
        truncated.isComplete = false;
        parts.push_back(encodePart(truncated, std::nullopt));
        return;
    }
    auto first = notice;
    auto second = notice;
    first.changes.resize(division);
    second.changes.erase(second.changes.begin(), second.changes.begin() + static_cast<std::ptrdiff_t>(division));
    std::uint64_t border = notice.fromRevision;
    for (const auto &change : first.changes) {
        border = std::max(border, change.object.version);
    }
    first.toRevision = border;
    second.fromRevision = border;
    encodeParts(first, parts);
    encodeParts(second, parts);
}

/// The datagrams of a notice that cannot be divided by revisions.
std::vector<std::vector<std::byte>> encodeWhole(const ChangeNotice &notice, std::uint64_t messageId)
{
    const auto packed = notice.changes.empty() ? std::nullopt : packChanges(notice.changes);
    const auto bytes = encodePart(notice, packed);
    if (bytes.size() <= MaxNoticeBytes) {
        return {bytes};
    }
    if (bytes.size() > MaxFragmentedBytes) {
        auto reduced = notice;
        reduced.changes.clear();
        reduced.configUpdate.reset();
        reduced.isComplete = notice.changes.empty();
        reduced.isList = false;
        return {encodePart(reduced, std::nullopt)};
    }
    std::vector<std::vector<std::byte>> datagrams;
    for (const auto &fragment : divideMessage(bytes, messageId, MaxContentBytes)) {
        capnp::MallocMessageBuilder message;
        auto part = message.initRoot<wire::ChangeNotice>().initFragment();
        part.setMessage(fragment.message);
        part.setIndex(fragment.index);
        part.setCount(fragment.count);
        part.setBytes(toData(fragment.bytes));
        datagrams.push_back(packMessage(message));
    }
    return datagrams;
}

}

void completeEra(ChangeNotice &notice, std::uint64_t era)
{
    const auto complete = [era](std::uint64_t &version) {
        version = version == 0 || storeEraOf(version) != 0 ? version : storeVersion(era, version);
    };
    complete(notice.fromRevision);
    complete(notice.toRevision);
    complete(notice.configVersion);
    if (notice.configUpdate) {
        complete(notice.configUpdate->baseVersion);
        complete(notice.configUpdate->version);
    }
    for (auto &change : notice.changes) {
        complete(change.object.version);
    }
}

std::vector<std::vector<std::byte>> encodeNotice(const ChangeNotice &notice, std::uint64_t messageId)
{
    if (notice.isList || notice.configUpdate) {
        return encodeWhole(notice, messageId);
    }
    std::vector<std::vector<std::byte>> parts;
    encodeParts(notice, parts);
    return parts;
}

std::vector<std::byte> encodeRequest(const ChangeRequest &request)
{
    capnp::MallocMessageBuilder message;
    auto wireRequest = message.initRoot<wire::ChangeNotice>().initRequest();
    wireRequest.setRevision(request.revision);
    wireRequest.setConfigVersion(request.configVersion);
    return packMessage(message);
}

std::optional<ChangeMessage> decodeChangeMessage(std::span<const std::byte> bytes)
{
    try {
        kj::ArrayInputStream in(kj::arrayPtr(reinterpret_cast<const kj::byte *>(bytes.data()), bytes.size()));
        capnp::PackedMessageReader message(in);
        const auto root = message.getRoot<wire::ChangeNotice>();
        ChangeMessage result;
        if (root.hasRequest()) {
            result.request = ChangeRequest{root.getRequest().getRevision(), root.getRequest().getConfigVersion()};
            return result;
        }
        if (root.hasFragment()) {
            const auto part = root.getFragment();
            const auto content = fromData(part.getBytes());
            result.fragment = MessageFragment{part.getMessage(), part.getIndex(), part.getCount(), {content.begin(), content.end()}};
            return result;
        }
        auto &notice = result.notice;
        notice.isList = root.getIsList();
        notice.fromRevision = root.getFromRevision();
        notice.toRevision = root.getToRevision();
        notice.configVersion = root.getConfigVersion();
        notice.remainingDeferral = std::min<Duration>(milliseconds(root.getUnsettledMs()), MaxDeferral);
        notice.isComplete = root.getIsComplete();
        notice.changes = readChanges(root);
        if (root.hasPackedChanges()) {
            const auto expanded = expandDelta(fromData(root.getPackedChanges()), {}, MaxExpandedBytes);
            if (!expanded) {
                return std::nullopt;
            }
            kj::ArrayInputStream packedIn(toArray(*expanded));
            capnp::PackedMessageReader packed(packedIn);
            notice.changes = readChanges(packed.getRoot<wire::ChangeNotice>());
            notice.isComplete = true;
        }
        if (root.hasConfigUpdate()) {
            const auto update = root.getConfigUpdate();
            const auto delta = fromData(update.getDelta());
            notice.configUpdate = ConfigUpdate{update.getBaseVersion(), update.getVersion(), {delta.begin(), delta.end()}};
        }
        return result;
    } catch (const kj::Exception &) {
        return std::nullopt;
    }
}

}
