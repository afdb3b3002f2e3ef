#pragma once

#include "base/error_code.h"

#include <string_view>
#include <vector>

namespace mustardtrail::fuzz
{

/// Reads any bytes in the way of the one target of the program; gives the codes of the problems, none for valid bytes.
/// Ends the process when a result contradicts itself.
std::vector<error_code> readAnyBytes(std::string_view bytes);

/// Ends the process unless the condition holds.
void require(bool condition);

} // namespace mustardtrail::fuzz
