#include "base/json_access.h"

#include <boost/json/parse.hpp>

#include <charconv>

namespace mustardtrail::json_access
{

namespace json = boost::json;

namespace
{

json::string_view view(std::string_view text)
{
    return { text.data(), text.size() };
}

// Value of the escape sequence \uXXXX at the position; 0 if there is none.
unsigned escapedUnitAt(std::string_view text, size_t at)
{
    constexpr size_t digits = 4;
    unsigned unit = 0;
    if (text.substr(at, 2) != "\\u" || text.size() < at + 2 + digits) {
        return 0;
    }
    const char *first = text.data() + at + 2;
    const auto [end, failure] = std::from_chars(first, first + digits, unit, 16);
    return failure == std::errc() && end == first + digits ? unit : 0;
}

std::string withoutHalfSurrogates(std::string_view text)
{
    constexpr size_t escapeLength = 6;
    const auto isHigh = [](unsigned unit) {
        return unit >= 0xd800 && unit < 0xdc00;
    };
    const auto isLow = [](unsigned unit) {
        return unit >= 0xdc00 && unit < 0xe000;
    };
    std::string result(text);
    for (size_t at = result.find('\\'); at < result.size(); at = result.find('\\', at)) {
        const unsigned unit = escapedUnitAt(result, at);
        if (isHigh(unit) && isLow(escapedUnitAt(result, at + escapeLength))) {
            at += 2 * escapeLength;
        } else if (isHigh(unit) || isLow(unit)) {
            result.replace(at, escapeLength, "\\ufffd");
            at += escapeLength;
        } else {
            at += 2;
        }
    }
    return result;
}

json::object asObject(json::value document)
{
    return document.is_object() ? std::move(document.get_object()) : json::object();
}

} // namespace

std::int64_t numberOr(const json::object &object, std::string_view key, std::int64_t fallback)
{
    const json::value *value = object.if_contains(view(key));
    return value != nullptr && value->is_int64() ? value->get_int64() : fallback;
}

std::uint64_t unsignedOr(const json::object &object, std::string_view key, std::uint64_t fallback)
{
    const json::value *value = object.if_contains(view(key));
    if (value == nullptr || !value->is_number()) {
        return fallback;
    }
    json::error_code failure;
    const auto number = value->to_number<std::uint64_t>(failure);
    return failure ? fallback : number;
}

double realOr(const json::object &object, std::string_view key, double fallback)
{
    const json::value *value = object.if_contains(view(key));
    if (value == nullptr || !value->is_number()) {
        return fallback;
    }
    return value->to_number<double>();
}

bool boolOr(const json::object &object, std::string_view key, bool fallback)
{
    const json::value *value = object.if_contains(view(key));
    return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

std::string textOr(const json::object &object, std::string_view key, std::string_view fallback)
{
    const json::value *value = object.if_contains(view(key));
    return value != nullptr && value->is_string() ? std::string(value->get_string()) : std::string(fallback);
}

bool isText(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(view(key));
    return value != nullptr && value->is_string();
}

const json::object *objectAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(view(key));
    return value != nullptr ? value->if_object() : nullptr;
}

const json::array *arrayAt(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(view(key));
    return value != nullptr ? value->if_array() : nullptr;
}

json::object objectFromText(std::string_view text, json::storage_ptr memory)
{
    json::error_code failure;
    json::value document = json::parse(view(text), failure, std::move(memory));
    return failure ? json::object() : asObject(std::move(document));
}

json::object objectFromDamagedText(std::string_view text, json::storage_ptr memory)
{
    json::parse_options options;
    options.allow_invalid_utf8 = true;
    json::error_code failure;
    json::value document = json::parse(withoutHalfSurrogates(text), failure, std::move(memory), options);
    return failure ? json::object() : asObject(std::move(document));
}

} // namespace mustardtrail::json_access
