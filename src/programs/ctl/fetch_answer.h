#pragma once

#include "programs/ctl/internal/fetched_answer.h"

#include <optional>

namespace mustardtrail::ctl
{

/// GET of the target at "IP:PORT"; nothing when the process does not answer in time.
std::optional<fetched_answer> fetchAnswer(const std::string &address, const std::string &target);

} // namespace mustardtrail::ctl
