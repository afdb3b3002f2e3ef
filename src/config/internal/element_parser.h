#pragma once

#include "config/configuration.h"
#include "config/internal/config_key.h"
#include "config/internal/problem_list.h"

#include <string>

#include <boost/json/object.hpp>

namespace mustardtrail::config
{

/// Reads one element under a key into the configuration; an earlier one with the same id has been removed.
void parseElement(
    const config_key &key, const std::string &id, const boost::json::object &object, configuration &into, problem_list &problems);

/// Takes the element with the id out of the configuration.
void removeElement(const config_key &key, const std::string &id, configuration &from);

} // namespace mustardtrail::config
