#pragma once

#include "base/error_code.h"
#include "base/verdict.h"

#include <chrono>
#include <optional>
#include <string>

#include <tl/expected.hpp>

namespace mustardtrail
{

/// Failure of a request or of an operation on its path.
struct error {
    error_code code = error_code::none;
    verdict outcome = verdict::not_run;
    std::string detail; ///< Key=value facts for the log; no text of a prompt or an answer.
    std::optional<std::chrono::milliseconds> retryAfter; ///< When a new try is worthwhile.
};

template<typename value> using result = tl::expected<value, error>;

} // namespace mustardtrail
