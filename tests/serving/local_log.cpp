// Stands in for src/observe until that package is merged.
#include "observe/log.h"

namespace carawaypoint
{

LogField::LogField(std::string_view key, std::string_view value)
    : key_(key)
    , json_(value)
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
    : LogField(key, std::to_string(value))
{
}
LogField::LogField(std::string_view key, std::uint64_t value)
    : LogField(key, std::to_string(value))
{
}
LogField::LogField(std::string_view key, int value)
    : LogField(key, std::to_string(value))
{
}
LogField::LogField(std::string_view key, unsigned value)
    : LogField(key, std::to_string(value))
{
}
LogField::LogField(std::string_view key, double value)
    : LogField(key, std::to_string(value))
{
}
LogField::LogField(std::string_view key, bool value)
    : LogField(key, std::string_view(value ? "true" : "false"))
{
}

void startLog(std::string_view, LogLevel, std::string_view)
{
}
void logLine(LogLevel, std::string_view, std::initializer_list<LogField>)
{
}
void logDecision(std::string_view, std::string_view, std::string_view, std::string_view, std::initializer_list<LogField>)
{
}

}
