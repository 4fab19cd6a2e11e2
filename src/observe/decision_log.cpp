#include "observe/decision_log.h"

#include <algorithm>

namespace carawaypoint
{

namespace
{

void truncateText(std::string &text)
{
    if (text.size() <= DecisionLog::MaxTextBytes) {
        return;
    }
    auto end = DecisionLog::MaxTextBytes;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
        --end; // do not split a UTF-8 sequence
    }
    text.resize(end);
}

}

DecisionLog::DecisionLog(std::size_t capacityPerKind)
    : capacity_(std::max<std::size_t>(capacityPerKind, 1))
{
}

void DecisionLog::add(DecisionRecord record)
{
    for (auto *text : {&record.kind, &record.subject, &record.choice, &record.reason}) {
        truncateText(*text);
    }
    if (record.fieldsJson.size() > MaxTextBytes) {
        record.fieldsJson = R"({"cut":true})";
    }
    const std::lock_guard lock(mutex_);
    record.sequence = ++sequence_;
    auto found = rings_.find(record.kind);
    if (found == rings_.end()) {
        if (rings_.size() >= MaxKinds) {
            return;
        }
        found = rings_.emplace(record.kind, Ring{}).first;
    }
    auto &ring = found->second;
    if (ring.records.size() < capacity_) {
        ring.records.push_back(std::move(record));
        return;
    }
    ring.records[ring.next] = std::move(record);
    ring.next = (ring.next + 1) % capacity_;
}

std::vector<DecisionRecord> DecisionLog::find(std::string_view subject, std::size_t limit) const
{
    std::vector<DecisionRecord> found;
    {
        const std::lock_guard lock(mutex_);
        for (const auto &[kind, ring] : rings_) {
            std::copy_if(ring.records.begin(), ring.records.end(), std::back_inserter(found),
                         [&](const DecisionRecord &record) { return record.subject == subject; });
        }
    }
    std::sort(found.begin(), found.end(), [](const DecisionRecord &a, const DecisionRecord &b) { return a.sequence < b.sequence; });
    if (found.size() > limit) {
        found.erase(found.begin(), found.end() - static_cast<std::ptrdiff_t>(limit));
    }
    return found;
}

DecisionLog &decisionLog()
{
    static DecisionLog log;
    return log;
}

}
