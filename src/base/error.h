#pragma once

#include "base/error_code.h"
#include "base/verdict.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

#include <tl/expected.hpp>

namespace mustardtrail
{

/// Failure of a request or of an operation on its path.
struct error {
    error_code code = error_code::none;
    verdict outcome = verdict::not_run;
    std::string detail; ///< Key=value facts for the log; no text of a prompt or an answer.
    std::optional<std::chrono::milliseconds> retryAfter; ///< Suggested delay before a retry.
};

template<typename value> using result = tl::expected<value, error>;

/// Error for a message from another instance with a missing or invalid field; nothing was executed.
inline tl::unexpected<error> invalidPeerField(std::string_view field)
{
    return tl::unexpected(error{ error_code::peer_message_invalid, verdict::not_run, "field=" + std::string(field), {} });
}

} // namespace mustardtrail
