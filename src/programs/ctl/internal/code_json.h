#pragma once

#include "base/error_code.h"
#include "config/language.h"

#include <boost/json/object.hpp>

namespace mustardtrail::ctl
{

/// One code of the catalogue, for programs.
boost::json::object codeToJson(error_code code, config::language language);

} // namespace mustardtrail::ctl
