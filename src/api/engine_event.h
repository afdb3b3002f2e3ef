#pragma once

#include "base/error.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace mustardtrail::api
{

/// One event of an engine's stream, also used between entry instances.
struct engine_event {
    enum class kind {
        piece,
        finished, ///< Explicit end; sequence is the count of pieces.
        failed, ///< Between entry instances: the backend server's id is in text.
        accepted, ///< Between entry instances: the backend server took the attempt; its id is in text.
        done_mark, ///< "[DONE]"
    };
    kind type = kind::piece;
    std::uint64_t sequence = 0;
    std::string text;
    token_count tokens = 0;
    std::string finishReason;
    error failure; ///< Of kind failed.
};

/// Reads the data of one event; an event of another shape is backend_answer_invalid with verdict ran.
result<engine_event> readEngineEvent(std::string_view data);

/// Writes the event as server-sent event.
std::string writeEngineEvent(const engine_event &event, std::string_view attempt);

} // namespace mustardtrail::api
