#include "gateway/request_log.h"

#include "core/time_units.h"
#include "observe/log.h"
#include "observe/metrics.h"

#include <chrono>

namespace carawaypoint
{

namespace
{

/// Maximum lines per second. The lower limit for successes reserves lines for failures, which on-call engineers search for.
constexpr unsigned MaxLines = 400;
constexpr unsigned MaxSuccessLines = 150;

}

bool RequestLog::mayWrite(bool isFailure, TimePoint now)
{
    if (now - second_ >= seconds(1)) {
        if (omitted_ > 0) {
            logLine(LogLevel::Warning, "request lines left out", {{"lines", omitted_}});
        }
        second_ = now;
        lines_ = 0;
        omitted_ = 0;
    }
    if (lines_ >= (isFailure ? MaxLines : MaxSuccessLines)) {
        ++omitted_;
        return false;
    }
    ++lines_;
    return true;
}

void RequestLog::write(const RequestEntry &entry, TimePoint now)
{
    metricsRegistry().count(CounterMetric::Requests, resultCodeName(entry.code));
    metricsRegistry().observe(HistogramMetric::ServiceCall, entry.route, inSeconds(entry.total));
    if (entry.firstEvent.count() > 0) {
        metricsRegistry().observe(HistogramMetric::FirstToken, entry.model, inSeconds(entry.firstEvent));
    }
    if (!mayWrite(entry.code != ResultCode::Ok, now)) {
        return;
    }
    logLine(LogLevel::Info, "request",
            {{"request", entry.id},
             {"result", resultCodeName(entry.code)},
             {"status", entry.status},
             {"reason", entry.reason},
             {"route", entry.route},
             {"customer", entry.customer},
             {"model", entry.model},
             {"server", entry.server},
             {"replica", entry.replica},
             {"attempts", entry.attempts},
             {"load", entry.load},
             {"room", entry.freeCapacity},
             {"expected", entry.expected},
             {"count_age_ms", inMilliseconds(entry.countAge)},
             {"config_version", entry.configVersion},
             {"first_event_ms", inMilliseconds(entry.firstEvent)},
             {"total_ms", inMilliseconds(entry.total)}});
}

void RequestLog::writeStep(std::string_view id, std::string_view step, std::string_view reason, std::string_view server, TimePoint now)
{
    metricsRegistry().count(CounterMetric::Retries, reason);
    if (mayWrite(true, now)) {
        logLine(LogLevel::Info, step, {{"request", id}, {"reason", reason}, {"server", server}});
    }
}

}
