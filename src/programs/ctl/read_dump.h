#pragma once

#include <optional>
#include <string>

namespace mustardtrail::ctl
{

/// Body of GET /dump at "IP:PORT"; nothing when the process does not answer in time.
std::optional<std::string> readDump(const std::string &address);

} // namespace mustardtrail::ctl
