#pragma once

#include <chrono>

namespace mustardtrail::membership
{

/// When a node reads one of the platform's services itself.
struct reader_settings {
    int readers = 2; ///< Chosen per data centre.
    std::chrono::milliseconds period{ 200 }; ///< Least time between two reads of a chosen reader.
    std::chrono::milliseconds silenceStep{ 1500 }; ///< The next in rank steps in after each such time without any reading heard of.
    std::chrono::milliseconds silenceJitter{ 750 }; ///< Random part on top, so that nodes do not step in together.
    std::chrono::milliseconds longestSilence{ 30000 }; ///< Every node reads itself after this and the random part.
    std::chrono::milliseconds firstBackoff{ 500 }; ///< After a failure; a chosen reader keeps to it.
    std::chrono::milliseconds longestBackoff{ 16000 }; ///< Of the other nodes.
    std::chrono::milliseconds timeout{ 1000 }; ///< Of one read, beside the wait of a watch.
};

} // namespace mustardtrail::membership
