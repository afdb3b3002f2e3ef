#pragma once

#include "config/internal/config_key.h"
#include "config/internal/problem_list.h"

#include <map>
#include <string>
#include <string_view>

#include <boost/json/object.hpp>

namespace mustardtrail::config
{

/// Elements of one value by id. Ids are checked here, other fields by the element parser.
using element_objects = std::map<std::string, boost::json::object>;

/// Reads the text of a value; problems are added and bad elements left out.
element_objects readValue(const config_key &key, std::string_view text, problem_list &problems);

} // namespace mustardtrail::config
