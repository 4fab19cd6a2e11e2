#include "gateway/fleet_records.h"

#include "core/json_reader.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace carawaypoint
{

std::string encodeLease(const LeaseRecord &record)
{
    return boost::json::serialize(
        boost::json::object{{"holder", record.holder.str()}, {"process", record.process}, {"term", record.term}, {"renewals", record.renewals}});
}

LeaseRecord decodeLease(std::string_view text)
{
    LeaseRecord record;
    const auto value = parseJson(text).value_or(boost::json::value());
    JsonReader reader(value);
    reader.readId("holder", record.holder);
    reader.read("process", record.process);
    reader.read("term", record.term);
    reader.read("renewals", record.renewals, true);
    return record;
}

std::string encodeGateway(const PeerGateway &gateway, std::uint64_t process)
{
    return boost::json::serialize(boost::json::object{{"peer", gateway.address.toString()},
                                                      {"changes", gateway.changes.toString()},
                                                      {"zone", gateway.zone.str()},
                                                      {"link_mbps", gateway.linkMbps},
                                                      {"process", process}});
}

std::optional<PeerGateway> decodeGateway(std::string_view text)
{
    const auto value = parseJson(text).value_or(boost::json::value());
    std::string address;
    std::string changes;
    PeerGateway gateway;
    JsonReader reader(value);
    reader.read("peer", address);
    // Gateways of earlier versions do not receive notices and write no such field.
    reader.read("changes", changes, true);
    reader.read("link_mbps", gateway.linkMbps, true);
    reader.readId("zone", gateway.zone);
    gateway.address = Endpoint::parse(address);
    gateway.changes = Endpoint::parse(changes);
    return reader.isGood() && gateway.address.isValid() ? std::optional(gateway) : std::nullopt;
}

}
