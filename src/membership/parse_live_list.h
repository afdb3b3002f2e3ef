#pragma once

#include "base/error.h"
#include "membership/live_list_entry.h"

#include <string_view>
#include <vector>

namespace mustardtrail::membership
{

/// Reads the platform's list; one entry that cannot be read refuses the whole list.
result<std::vector<live_list_entry>> parseLiveList(std::string_view text);

} // namespace mustardtrail::membership
