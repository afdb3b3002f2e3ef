#pragma once

#include "base/ids.h"

#include <string_view>
#include <vector>

namespace mustardtrail::membership
{

/// Place of `self` among the candidates of its data centre for reading the named service; 0 reads first.
int readerRank(std::string_view service, const instance_id &self, const std::vector<instance_id> &candidates);

} // namespace mustardtrail::membership
