#pragma once

#include "base/ids.h"
#include "programs/gateway/gateway_context.h"

#include <string_view>

namespace mustardtrail::gateway
{

inline constexpr std::string_view answerTooLong = "answer_too_long"; ///< Log line, outcome of a send, and why it was ended.

/// Records that this instance ended a server's answer, which was longer than a proper one or had no room. `bytes`: held of it.
void recordLongAnswer(gateway_context &context, const attempt_id &attempt, std::string_view server, size_t bytes);

} // namespace mustardtrail::gateway
