#pragma once

#include <optional>
#include <string_view>

namespace mustardtrail
{

/// Whether a request may have had an effect at a backend server.
enum class verdict {
    not_run, ///< No byte was sent, or the backend server refused before it started.
    may_have_run, ///< Sent, and the outcome is unknown.
    ran, ///< The backend server answered.
};

/// Wire name: "not_run", "may_have_run" or "ran".
std::string_view toString(verdict value);
std::optional<verdict> verdictFromString(std::string_view text);

} // namespace mustardtrail
