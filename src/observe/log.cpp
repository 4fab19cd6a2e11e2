#include "observe/log.h"

#include "core/utf8.h"
#include "observe/decision_log.h"

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>
#include <boost/json/value.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>

#include <atomic>
#include <chrono>
#include <cmath>
#include <ctime>
#include <fstream>
#include <iostream>
#include <memory>
#include <mutex>

namespace carawaypoint
{

namespace
{

namespace sinks = boost::log::sinks;

/// With about 300 bytes per line, a full queue uses 2.5 MB.
constexpr std::size_t MaxQueuedLines = 8192;
constexpr int LevelDisabled = 100;

std::atomic<std::uint64_t> droppedLines{0};
std::atomic<int> lowestLevel{LevelDisabled};

/// Overflow strategy of the sink's queue: a full queue drops lines, so that it never blocks the thread that logs.
struct DropAndCount {
    template<typename Lock>
    static bool on_overflow(const boost::log::record_view & /*record*/, Lock & /*lock*/) // NOLINT(readability-identifier-naming): Boost.Log's name
    {
        droppedLines.fetch_add(1, std::memory_order_relaxed);
        return false;
    }
    static void on_queue_space_available() // NOLINT(readability-identifier-naming): Boost.Log's name
    {
    }
    static void interrupt()
    {
    }
};

using Sink = sinks::asynchronous_sink<sinks::text_ostream_backend, sinks::bounded_fifo_queue<MaxQueuedLines, DropAndCount>>;

struct LogState {
    std::mutex mutex;
    std::string process;
    boost::shared_ptr<Sink> sink;
    boost::log::sources::logger_mt logger;
};

LogState &logState()
{
    static LogState state;
    return state;
}

/// Boost.JSON does not check UTF-8.
std::string quoteJson(std::string_view text)
{
    return boost::json::serialize(boost::json::string_view(replaceInvalidUtf8(text)));
}

std::string_view levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        break;
    }
    return "error";
}

void appendMember(std::string &json, std::string_view key, std::string_view valueJson)
{
    if (json.size() > 1) {
        json += ',';
    }
    json += quoteJson(key);
    json += ':';
    json += valueJson;
}

std::string toJsonObject(std::initializer_list<LogField> fields)
{
    std::string json = "{";
    for (const auto &field : fields) {
        appendMember(json, field.key(), field.json());
    }
    return json + "}";
}

void writeLine(LogLevel level, std::string_view message, std::initializer_list<LogField> first, std::initializer_list<LogField> second)
{
    if (static_cast<int>(level) < lowestLevel.load(std::memory_order_relaxed)) {
        return;
    }
    auto &state = logState();
    std::string json = "{";
    appendMember(json, "time", quoteJson(formatUtc(std::chrono::system_clock::now())));
    appendMember(json, "level", quoteJson(levelName(level)));
    {
        const std::lock_guard lock(state.mutex);
        appendMember(json, "process", quoteJson(state.process));
    }
    appendMember(json, "message", quoteJson(message));
    for (const auto &fields : {first, second}) {
        for (const auto &field : fields) {
            appendMember(json, field.key(), field.json());
        }
    }
    json += '}';
    BOOST_LOG(state.logger) << json;
}

}

LogField::LogField(std::string_view key, std::string_view value)
    : key_(key)
    , json_(quoteJson(value))
{
}

LogField::LogField(std::string_view key, const char *value)
    : LogField(key, std::string_view(value))
{
}

LogField::LogField(std::string_view key, const std::string &value)
    : LogField(key, std::string_view(value))
{
}

LogField::LogField(std::string_view key, std::int64_t value)
    : key_(key)
    , json_(std::to_string(value))
{
}

LogField::LogField(std::string_view key, std::uint64_t value)
    : key_(key)
    , json_(std::to_string(value))
{
}

LogField::LogField(std::string_view key, int value)
    : LogField(key, static_cast<std::int64_t>(value))
{
}

LogField::LogField(std::string_view key, unsigned value)
    : LogField(key, static_cast<std::uint64_t>(value))
{
}

LogField::LogField(std::string_view key, double value)
    : key_(key)
    , json_(std::isfinite(value) ? boost::json::serialize(boost::json::value(value)) : "null")
{
}

LogField::LogField(std::string_view key, bool value)
    : key_(key)
    , json_(value ? "true" : "false")
{
}

std::string formatUtc(std::chrono::system_clock::time_point time)
{
    const auto sinceEpoch = std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
    const auto wholeSeconds = static_cast<std::time_t>(sinceEpoch / 1000);
    std::tm parts{};
    gmtime_r(&wholeSeconds, &parts);
    char text[40];
    const auto length = std::strftime(text, sizeof text, "%Y-%m-%dT%H:%M:%S", &parts);
    char fraction[8];
    std::snprintf(fraction, sizeof fraction, ".%03dZ", static_cast<int>(sinceEpoch % 1000));
    return std::string(text, length) + fraction;
}

LogLevel parseLogLevel(std::string_view name)
{
    for (const auto level : {LogLevel::Debug, LogLevel::Info, LogLevel::Warning, LogLevel::Error}) {
        if (levelName(level) == name) {
            return level;
        }
    }
    return LogLevel::Info;
}

void startLog(std::string_view process, LogLevel level, std::string_view path)
{
    stopLog();
    auto backend = boost::make_shared<sinks::text_ostream_backend>();
    bool isFileUnusable = false;
    const bool toStandardOutput = path == "-";
    if (!path.empty() && !toStandardOutput) {
        auto file = boost::make_shared<std::ofstream>(std::string(path), std::ios::app);
        isFileUnusable = !file->is_open();
        if (!isFileUnusable) {
            backend->add_stream(file);
        }
    }
    if (path.empty() || toStandardOutput || isFileUnusable) {
        auto &stream = toStandardOutput ? std::cout : std::clog;
        backend->add_stream(boost::shared_ptr<std::ostream>(&stream, [](std::ostream *) {}));
    }
    backend->auto_flush(true);
    auto sink = boost::make_shared<Sink>(backend);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    auto &state = logState();
    {
        const std::lock_guard lock(state.mutex);
        state.process = process;
        state.sink = sink;
    }
    boost::log::core::get()->add_sink(sink);
    lowestLevel.store(static_cast<int>(level));
    if (isFileUnusable) {
        logLine(LogLevel::Error, "the log file cannot be opened, logging to standard error", {{"path", path}});
    }
}

void setLogLevel(LogLevel level)
{
    lowestLevel.store(static_cast<int>(level));
}

void stopLog()
{
    lowestLevel.store(LevelDisabled);
    boost::shared_ptr<Sink> sink;
    {
        auto &state = logState();
        const std::lock_guard lock(state.mutex);
        sink = std::exchange(state.sink, nullptr);
    }
    if (!sink) {
        return;
    }
    boost::log::core::get()->remove_sink(sink);
    sink->stop();
    sink->flush();
}

std::uint64_t droppedLogLines()
{
    return droppedLines.load(std::memory_order_relaxed);
}

void logLine(LogLevel level, std::string_view message, std::initializer_list<LogField> fields)
{
    writeLine(level, message, fields, {});
}

void logDecision(std::string_view kind, std::string_view subject, std::string_view choice, std::string_view reason, std::initializer_list<LogField> fields)
{
    DecisionRecord record;
    record.at = std::chrono::system_clock::now();
    record.kind = kind;
    record.subject = subject;
    record.choice = choice;
    record.reason = reason;
    record.fieldsJson = toJsonObject(fields);
    decisionLog().add(std::move(record));
    writeLine(LogLevel::Info, "decision", {{"kind", kind}, {"subject", subject}, {"choice", choice}, {"reason", reason}}, fields);
}

}
