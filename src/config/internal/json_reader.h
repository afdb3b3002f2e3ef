#pragma once

#include "base/error_code.h"

#include <string>
#include <string_view>

#include <boost/json/value.hpp>
#include <tl/expected.hpp>

namespace mustardtrail::config
{

/// Names that one JSON object may hold.
constexpr size_t maxObjectNames = 256;

struct json_failure {
    error_code code = error_code::none;
    std::string path; ///< Place in the text, such as "[3].address".
    std::string given;
    std::string allowed;
};

/// Strict JSON: no comments, no trailing commas, no name twice in an object.
tl::expected<boost::json::value, json_failure> readJson(std::string_view text);

/// Text of a value in ASCII, cut to a length that fits a table.
std::string shortText(const boost::json::value &value);
/// Name of an object's member as it is shown in a place: quoted and cut unless it is a plain id.
std::string shownName(const std::string &name);

} // namespace mustardtrail::config
