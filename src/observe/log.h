#pragma once

#include <initializer_list>

#include <chrono>
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
    std::string_view key_; // refers to a string literal
    std::string json_;
};

/// Formats @p time as in log lines, for example `2026-12-04T06:00:00.000Z`.
std::string formatUtc(std::chrono::system_clock::time_point time);

/// The level named "debug", "info", "warning" or "error"; Info for any other name.
LogLevel parseLogLevel(std::string_view name);

/// Starts writing log lines to the file @p path, to standard output for the path "-", or to standard error for an empty path.
/// Lines below @p level are not written. A separate thread writes the lines from a bounded queue; when it is full, lines are
/// dropped and counted. Without startLog() no lines are written, but logDecision() still stores decisions.
void startLog(std::string_view process, LogLevel level, std::string_view path = {});

/// Changes the minimum level of lines that are written.
void setLogLevel(LogLevel level);

/// Writes the queued lines and stops the writing thread.
void stopLog();

/// Number of log lines dropped because of a full queue since the process started.
std::uint64_t droppedLogLines();

/// Writes one JSON line with time, level, process and message.
void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields = {});

/// Writes a log line for a decision and stores the decision for `carawaypoint explain`.
/// @param kind "routing", "placement", "admission", "claim", "configuration" or "alarm".
/// @param subject the request, replica or VM that the decision is about.
void logDecision(std::string_view kind,
                 std::string_view subject,
                 std::string_view choice,
                 std::string_view reason,
                 std::initializer_list<LogField> fields = {});

}
