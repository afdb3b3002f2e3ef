#pragma once

#include "base/error_code.h"

#include <boost/system/error_code.hpp>

namespace mustardtrail::http
{

/// Tells bytes that are no proper response from a connection that ended.
error_code codeOfReadFailure(const boost::system::error_code &failure);

} // namespace mustardtrail::http
