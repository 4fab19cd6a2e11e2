#pragma once

#include <initializer_list>

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>

namespace carawaypoint
{

enum class LogLevel : std::uint8_t {
    Debug,
    Info,
    Warning,
    Error,
};

/// A field of a log line.
class LogField
{
public:
    LogField(std::string_view key, std::string_view value);
    LogField(std::string_view key, const char *value);
    LogField(std::string_view key, const std::string &value);
    LogField(std::string_view key, std::int64_t value);
    LogField(std::string_view key, std::uint64_t value);
    LogField(std::string_view key, int value);
    LogField(std::string_view key, unsigned value);
    LogField(std::string_view key, double value);
    LogField(std::string_view key, bool value);

    std::string_view key() const
    {
        return key_;
    }
    /// The value as JSON text.
    const std::string &json() const
    {
        return json_;
    }

private:
    std::string_view key_; // a literal
    std::string json_;
};

/// Sends log lines to standard error, or to @p path when it is not empty. Lines below @p level are left out.
void startLog(std::string_view process, LogLevel level, std::string_view path = {});

/// Writes one JSON line with time, level, process and message.
void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

/// Writes a routing or placement decision and keeps it for `carawaypoint explain`.
/// @param kind "routing", "placement", "admission", "claim", "configuration" or "alarm".
/// @param subject the request, replica or VM that the decision is about.
void logDecision(std::string_view kind,
                 std::string_view subject,
                 std::string_view choice,
                 std::string_view reason,
                 std::initializer_list<LogField> fields = {});

}
