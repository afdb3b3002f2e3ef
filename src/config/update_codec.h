#pragma once

#include "config/config_problem.h"
#include "config/config_update.h"

#include <string>
#include <string_view>
#include <vector>

#include <tl/expected.hpp>

namespace mustardtrail::config
{

using decoded_update = tl::expected<config_update, std::vector<config_problem>>;

/// Longest encoded update that is read.
constexpr size_t maxUpdateBytes = 32 * 1024 * 1024;

/// JSON text of an update, for peers.
std::string encodeUpdate(const config_update &update);
/// Reads what encodeUpdate wrote; anything else is refused.
decoded_update decodeUpdate(std::string_view text);

/// Reads the service's reply to "entries changed after the given revision".
decoded_update decodeServiceReply(std::string_view text, std::int64_t after);

/// Reads a configuration file: a service's reply, or one object of key to value (revision 1).
decoded_update decodeFile(std::string_view text);

} // namespace mustardtrail::config
