#include "membership/zone_member_list.h"

#include "core/result_code.h"

#include <algorithm>
#include <sstream>

namespace carawaypoint
{

namespace
{

constexpr std::string_view Kind = "members";

std::vector<Endpoint> parseLines(const std::string &value)
{
    std::vector<Endpoint> endpoints;
    std::istringstream lines(value);
    for (std::string line; std::getline(lines, line);) {
        if (const auto endpoint = Endpoint::parse(line); endpoint.isValid()) {
            endpoints.push_back(endpoint);
        }
    }
    return endpoints;
}

}

ZoneMemberList::ZoneMemberList(ObjectStore &store, ZoneId zone)
    : store_(store)
    , zone_(std::move(zone))
{
}

void ZoneMemberList::refresh(const std::vector<Endpoint> &live, bool mayWrite, const std::function<void(std::vector<Endpoint>)> &handler)
{
    auto sorted = live;
    std::sort(sorted.begin(), sorted.end());
    std::string value;
    for (const auto &endpoint : sorted) {
        value += endpoint.toString() + "\n";
    }
    store_.fetch(Kind, zone_.str(),
                 [&store = store_, zone = zone_, value, mayWrite, isAlone = live.size() <= 1, handler](std::error_code error, const StoredObject &object) {
                     if (error && error != ResultCode::ObjectNotFound) {
                         return;
                     }
                     const auto known = error ? std::vector<Endpoint>{} : parseLines(object.value);
                     if (mayWrite && (error || object.value != value) && (!isAlone || known.size() <= 1)) {
                         const auto condition = error ? WriteCondition::ifAbsent() : WriteCondition::ifVersion(object.version);
                         store.put(Kind, zone.str(), value, condition,
                                   [](std::error_code, std::uint64_t) {}); // a lost or rejected write is repeated by the next refresh
                     }
                     handler(known);
                 });
}

}
