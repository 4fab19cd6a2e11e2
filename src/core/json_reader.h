#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace carawaypoint
{

/// Parses untrusted JSON without throwing; empty when @p text is not valid JSON.
std::optional<boost::json::value> parseJson(std::string_view text);

/// Reads the fields of an untrusted JSON object. A field that is missing or has another type leaves the target unchanged and
/// clears isGood(); an optional field may be missing.
class JsonReader
{
public:
    explicit JsonReader(const boost::json::value &value);
    explicit JsonReader(const boost::json::object &object);

    bool isGood() const
    {
        return isGood_;
    }

    void read(std::string_view key, std::string &target, bool isOptional = false);
    void read(std::string_view key, std::uint64_t &target, bool isOptional = false);
    void read(std::string_view key, std::uint32_t &target, bool isOptional = false);
    void read(std::string_view key, double &target, bool isOptional = false);
    void read(std::string_view key, bool &target, bool isOptional = false);
    void read(std::string_view key, std::vector<std::string> &target, bool isOptional = false);

    /// Reads an identifier.
    template<typename Id>
    void readId(std::string_view key, Id &target, bool isOptional = false)
    {
        std::string text;
        read(key, text, isOptional);
        target = Id(std::move(text));
    }

    /// The array under @p key; null, with isGood() cleared, when there is none.
    const boost::json::array *array(std::string_view key);
    /// The object under @p key; null, with isGood() cleared, when there is none.
    const boost::json::object *object(std::string_view key);
    /// Clears isGood(), for validation errors that the caller finds.
    void fail()
    {
        isGood_ = false;
    }

private:
    const boost::json::value *find(std::string_view key, bool isOptional);

    const boost::json::object *object_ = nullptr;
    bool isGood_ = true;
};

}
