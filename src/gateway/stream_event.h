#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace mustardtrail::gateway
{

/// One complete server-sent event.
struct stream_event {
    std::string text; ///< As received, with its blank line.
    std::optional<std::uint64_t> id;
    bool isComment = false; ///< Without any field: nothing that a caller could miss or get twice.
};

} // namespace mustardtrail::gateway
