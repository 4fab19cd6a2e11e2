#include "config/config_schema.h"

#include "config/gateway_settings.h"
#include "config/process_settings.h"

namespace carawaypoint
{

namespace
{

using Kind = ValueKind;

constexpr KeySchema SiteKeys[] = {
    {.key = "zone",
     .kind = Kind::Name,
     .isRequired = true,
     .description = "Availability zone of the site; each site has a zone of its own. Set in the overlay."},
    {.key = "daemons",
     .kind = Kind::Integer,
     .unit = "daemons",
     .low = 1,
     .high = 1000,
     .isRequired = true,
     .description = "Daemons of the site. A daemon that reaches no peers divides each customer's share by this number."},
};
constexpr KeySchema ModelKeys[] = {
    {.key = "version", .kind = Kind::Text, .isRequired = true, .description = "Version of the weights."},
    {.key = "adapters", .kind = Kind::NameList, .description = "Adapters that requests may name."},
    {.key = "vms_per_replica",
     .kind = Kind::Integer,
     .unit = "VMs",
     .low = 1,
     .high = 64,
     .isRequired = true,
     .description = "VMs of one replica, all in one fabric domain."},
    {.key = "replicas", .kind = Kind::Integer, .unit = "replicas", .low = 0, .high = 1000, .isRequired = true, .description = "Replicas to run at a site."},
    {.key = "slots_per_replica",
     .kind = Kind::Integer,
     .unit = "requests",
     .low = 1,
     .high = 4096,
     .defaultText = "8",
     .description = "Requests in one batch."},
    {.key = "max_prompt_tokens",
     .kind = Kind::Integer,
     .unit = "tokens",
     .low = 1,
     .high = 10'000'000,
     .defaultText = "8192",
     .description = "Limit of the prompt length."},
    {.key = "max_output_tokens",
     .kind = Kind::Integer,
     .unit = "tokens",
     .low = 1,
     .high = 1'000'000,
     .defaultText = "2048",
     .description = "Limit of the answer length."},
    {.key = "first_token_deadline",
     .kind = Kind::Time,
     .low = 0.01,
     .high = 600,
     .defaultText = "5s",
     .description = "Time that a request may wait for its first token when it states no deadline."},
    {.key = "pool", .kind = Kind::Name, .isRequired = true, .description = "Pool whose VMs run the model."},
};
constexpr KeySchema CustomerKeys[] = {
    {.key = "share",
     .kind = Kind::Number,
     .low = 0.001,
     .high = 1'000'000,
     .isRequired = true,
     .description = "Share of the capacity, relative to the other customers."},
    {.key = "models", .kind = Kind::NameList, .description = "Models that the customer may use; empty for all."},
};
constexpr KeySchema ServiceKeys[] = {
    {.key = "pool", .kind = Kind::Name, .isRequired = true, .description = "Pool whose VMs run the service."},
    {.key = "repeatable",
     .kind = Kind::Flag,
     .isRequired = true,
     .description = "Whether a call may be sent twice. With no, a call needs an Idempotency-Key and runs at most once."},
    {.key = "timeout", .kind = Kind::Time, .low = 0.01, .high = 600, .defaultText = "10s", .description = "Time that a call may take."},
};
constexpr KeySchema PoolKeys[] = {
    {.key = "engines_check_fencing",
     .kind = Kind::Flag,
     .isRequired = true,
     .description = "Whether the engines refuse orders with an old fencing number. State no when in doubt: it costs stranded VMs while a controller "
                    "is paused; a wrong yes lets a VM join two replicas."},
    {.key = "loads_per_minute",
     .kind = Kind::Number,
     .unit = "loads/min",
     .low = 0.01,
     .high = 10'000,
     .defaultText = "10",
     .description = "Loads of weights that may start in a zone per minute."},
};
constexpr KeySchema RoutingKeys[] = {
    {.key = "replica_choice",
     .kind = Kind::Choice,
     .defaultText = "corrected_two_choices",
     .choices = "corrected_two_choices|least_requests|round_robin",
     .description = "Strategy that chooses a replica."},
    {.key = "queue_order", .kind = Kind::Choice, .defaultText = "short_first", .choices = "short_first|fifo", .description = "Order of waiting requests."},
    {.key = "admission",
     .kind = Kind::Choice,
     .defaultText = "deadline_shares",
     .choices = "deadline_shares|unbounded",
     .description = "Whether requests are refused that would wait past their deadline or beyond their customer's share."},
    {.key = "long_work_slot_share",
     .kind = Kind::Number,
     .low = 0.05,
     .high = 1,
     .defaultText = "0.5",
     .description = "Fraction of a replica's slots that long work may hold."},
    {.key = "retry_budget_share", .kind = Kind::Number, .low = 0, .high = 1, .defaultText = "0.1", .description = "Retries allowed per request."},
    {.key = "observation_bound",
     .kind = Kind::Time,
     .low = 0.5,
     .high = 60,
     .defaultText = "3s",
     .description = "Longest time since the last observation of a VM. A longer time makes its replica ineligible."},
};
constexpr KeySchema RepairKeys[] = {
    {.key = "strategy",
     .kind = Kind::Choice,
     .defaultText = "nearest_whole",
     .choices = "nearest_whole|first_fit",
     .description = "Order in which replicas are repaired."},
    {.key = "lease_time",
     .kind = Kind::Time,
     .low = 2,
     .high = 300,
     .defaultText = "10s",
     .description = "Time after which another daemon may take a domain's lease."},
    {.key = "lease_renewal",
     .kind = Kind::Time,
     .low = 0.5,
     .high = 100,
     .defaultText = "3s",
     .description = "Time between renewals of a lease; at most half of lease_time."},
    {.key = "order_lifetime",
     .kind = Kind::Time,
     .low = 1,
     .high = 600,
     .defaultText = "30s",
     .description = "Time after which an order sent to an engine can no longer arrive."},
};
constexpr KeySchema AlarmKeys[] = {
    {.key = "replica_down",
     .kind = Kind::Time,
     .low = 1,
     .high = 604'800,
     .defaultText = "30min",
     .description = "Expected repair time of a replica that lost a VM."},
    {.key = "domain_lost",
     .kind = Kind::Time,
     .low = 1,
     .high = 604'800,
     .defaultText = "20min",
     .description = "Expected repair time of a fabric domain whose VMs do not answer."},
    {.key = "platform_down",
     .kind = Kind::Time,
     .low = 1,
     .high = 604'800,
     .defaultText = "30min",
     .description = "Expected duration of an outage of the platform."},
    {.key = "zone_cut_off",
     .kind = Kind::Time,
     .low = 1,
     .high = 604'800,
     .defaultText = "30min",
     .description = "Expected duration of a partition between zones."},
    {.key = "daemons_lost",
     .kind = Kind::Time,
     .low = 1,
     .high = 604'800,
     .defaultText = "30min",
     .description = "Expected time until a lost daemon is replaced."},
    {.key = "service_down",
     .kind = Kind::Time,
     .low = 1,
     .high = 604'800,
     .defaultText = "15min",
     .description = "Expected repair time of a plain service without a server."},
    {.key = "config_not_in_force",
     .kind = Kind::Time,
     .low = 1,
     .high = 604'800,
     .defaultText = "10min",
     .description = "Expected time until a configuration is in force at every daemon."},
    {.key = "clear_after",
     .kind = Kind::Time,
     .low = 1,
     .high = 86'400,
     .defaultText = "2min",
     .description = "Time without the condition after which an alarm clears."},
};
constexpr KeySchema LimitKeys[] = {
    {.key = "max_body_bytes",
     .kind = Kind::Integer,
     .unit = "bytes",
     .low = 1024,
     .high = 16'777'216,
     .defaultText = "1048576",
     .description = "Largest body of a caller's request."},
    {.key = "max_connections",
     .kind = Kind::Integer,
     .unit = "connections",
     .low = 1,
     .high = 1'000'000,
     .defaultText = "4096",
     .description = "Callers' connections per daemon."},
    {.key = "token_timeout", .kind = Kind::Time, .low = 0.1, .high = 600, .defaultText = "10s", .description = "Longest time between two tokens of a stream."},
    {.key = "claim_retention",
     .kind = Kind::Time,
     .low = 3600,
     .high = 604'800,
     .defaultText = "24h",
     .description = "Time for which outcomes of calls that are not repeatable are kept."},
    {.key = "drain_time",
     .kind = Kind::Time,
     .low = 1,
     .high = 86'400,
     .defaultText = "10min",
     .description = "Time that a planned stop waits for requests in progress. Must exceed the longest answer, or the stop interrupts it."},
};

constexpr SectionSchema ConfigSections[] = {
    {.name = "site", .keys = SiteKeys, .description = "The site itself."},
    {.name = "model", .isNamed = true, .keys = ModelKeys, .description = "A language model."},
    {.name = "customer", .isNamed = true, .keys = CustomerKeys, .description = "A customer, named in X-Customer."},
    {.name = "service", .isNamed = true, .keys = ServiceKeys, .description = "A plain service under /services/<name>/."},
    {.name = "pool", .isNamed = true, .keys = PoolKeys, .description = "VMs that run models. Pools of plain services have no section."},
    {.name = "routing", .keys = RoutingKeys, .description = "Choice of replicas and order of requests."},
    {.name = "repair", .keys = RepairKeys, .description = "Assignment of VMs to replicas."},
    {.name = "alarms",
     .keys = AlarmKeys,
     .description = "Expected repair times. An alarm is raised when a condition lasts longer than its time without progress of the repair."},
    {.name = "limits", .keys = LimitKeys, .description = "Limits of a daemon."},
};

std::string describeValue(const KeySchema &schema)
{
    std::string text = describeExpectation(schema);
    for (std::size_t at = 0; (at = text.find('|', at)) != std::string::npos; at += 2) {
        text.replace(at, 1, "\\|");
    }
    return text + (schema.unit.empty() ? "" : ", " + std::string(schema.unit));
}

void appendSections(std::string &page, std::span<const SectionSchema> sections)
{
    for (const auto &section : sections) {
        page += "\n### `[" + std::string(section.name) + (section.isNamed ? " <name>" : "") + "]`\n\n" + std::string(section.description) + "\n\n";
        page += "| key | value | default | meaning |\n|---|---|---|---|\n";
        for (const auto &key : section.keys) {
            const auto defaultText = key.isRequired ? "required" : key.defaultText.empty() ? "empty" : "`" + std::string(key.defaultText) + "`";
            page += "| `" + std::string(key.key) + "` | " + describeValue(key) + " | " + defaultText + " | " + std::string(key.description) + " |\n";
        }
    }
}

}

std::span<const SectionSchema> configSchema()
{
    return ConfigSections;
}

std::string settingsReference()
{
    std::string page =
        "# Settings\n\nThis page is generated by `carawaypoint config reference`; do not edit it.\n\n"
        "## Configuration\n\nThe files `base.ini` and `sites/<site>.ini`. An overlay states only what differs from the base; an overlay line equal to "
        "the base is an error. Every section may be in either file. A section without keys has no effect. A comment begins with ; or # at the start of a "
        "line, or with ; after a space.\n";
    appendSections(page, configSchema());
    page += "\n## Process\n\nThe INI file of one daemon. `--set section.key=value` replaces a value of the file.\n";
    appendSections(page, processSchema());
    page += "\n## Gateway\n\nThe INI file of one gateway. `--set section.key=value` replaces a value of the file; `--check` only checks it.\n";
    appendSections(page, gatewaySchema());
    return page;
}

}
