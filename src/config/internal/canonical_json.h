#pragma once

#include <string>

#include <boost/json/object.hpp>

namespace mustardtrail::config
{

/// Text with names in order and without spaces: the same for every way of writing one value.
std::string canonicalText(const boost::json::object &object);

} // namespace mustardtrail::config
