#pragma once

#include <chrono>

namespace mustardtrail::membership
{

/// When a node reads one of the platform's services itself.
struct reader_settings {
    int readers = 2; ///< Chosen per data centre.
    std::chrono::milliseconds period{ 200 }; ///< Least time between two reads of a chosen reader.
    std::chrono::milliseconds silenceStep{ 3000 }; ///< The next in rank steps in after each such time without any reading heard of.
    std::chrono::milliseconds longestSilence{ 30000 }; ///< Every node reads itself after this and a random part of it.
    std::chrono::milliseconds firstBackoff{ 1000 };
    std::chrono::milliseconds longestBackoff{ 16000 };
    std::chrono::milliseconds timeout{ 1000 }; ///< Of one read, beside the wait of a watch.
};

} // namespace mustardtrail::membership
