#include "base/json_access.h"

#include <boost/json/parse.hpp>

namespace mustardtrail::json_access
{

namespace json = boost::json;

namespace
{

json::string_view view(std::string_view text)
{
    return { text.data(), text.size() };
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

json::object objectFromText(std::string_view text)
{
    json::error_code failure;
    json::value document = json::parse(view(text), failure);
    if (failure || !document.is_object()) {
        return {};
    }
    return std::move(document.get_object());
}

} // namespace mustardtrail::json_access
