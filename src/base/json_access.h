#pragma once

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

#include <cstdint>
#include <string>
#include <string_view>

/// Reads members of a JSON object from an untrusted source; a missing member or one of another type yields the fallback.
namespace mustardtrail::json_access
{

std::int64_t numberOr(const boost::json::object &object, std::string_view key, std::int64_t fallback);
/// Accepts any integral number from 0 to 2^64 - 1.
std::uint64_t unsignedOr(const boost::json::object &object, std::string_view key, std::uint64_t fallback);
double realOr(const boost::json::object &object, std::string_view key, double fallback);
bool boolOr(const boost::json::object &object, std::string_view key, bool fallback);
std::string textOr(const boost::json::object &object, std::string_view key, std::string_view fallback = {});
bool isText(const boost::json::object &object, std::string_view key);
/// Null when the member is missing or of another type.
const boost::json::object *objectAt(const boost::json::object &object, std::string_view key);
const boost::json::array *arrayAt(const boost::json::object &object, std::string_view key);

/// Parses a JSON object; returns an empty one when the text is not a JSON object. The object uses `memory`: a large document is
/// parsed and destroyed faster in a monotonic resource, which must outlive it.
boost::json::object objectFromText(std::string_view text, boost::json::storage_ptr memory = {});
/// The same, but strings may hold bytes that are no UTF-8, which are kept, and halves of surrogate pairs, which become U+FFFD.
boost::json::object objectFromDamagedText(std::string_view text, boost::json::storage_ptr memory = {});

} // namespace mustardtrail::json_access
