#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Reads members of a JSON object that came from outside: a missing member or another type gives the fallback.
namespace mustardtrail::json_access
{

std::int64_t numberOr(const boost::json::object &object, std::string_view key, std::int64_t fallback);
/// Any number that is a whole one from 0 to 2^64 - 1.
std::uint64_t unsignedOr(const boost::json::object &object, std::string_view key, std::uint64_t fallback);
double realOr(const boost::json::object &object, std::string_view key, double fallback);
bool boolOr(const boost::json::object &object, std::string_view key, bool fallback);
std::string textOr(const boost::json::object &object, std::string_view key, std::string_view fallback = {});
/// Nothing when missing or of another type.
const boost::json::object *objectAt(const boost::json::object &object, std::string_view key);
const boost::json::array *arrayAt(const boost::json::object &object, std::string_view key);

/// The text as a JSON object; an empty object when it is not one.
boost::json::object objectFromText(std::string_view text);

} // namespace mustardtrail::json_access
