#pragma once

#include "base/units.h"

#include <chrono>
#include <string>
#include <vector>

namespace mustardtrail::standin
{

/// Size and behaviour of a stand-in engine.
struct engine_options {
    token_count memoryTokens = 300'000;
    double prefillTokensPerSecond = 400'000;
    double decodeTokensPerSecond = 100; ///< Of each stream.
    token_count chunkTokens = 4'096; ///< Prefill between two looks at the priorities.
    int coldRequests = 2;
    int warmRequests = 32;
    int warmAfter = 4; ///< Completed requests until the engine is warm.
    bool checksFencing = true;
    std::chrono::milliseconds reportLag{ 200 };
    std::chrono::milliseconds keepFinished{ 10'000 };
    token_count cachedPrefixTokens = 512; ///< Prefill saved by a cached leading block.
    size_t cachedPrefixes = 64;
    std::chrono::milliseconds eventLag{ 300 };
    std::vector<std::string> models;
    std::string modelVersion = "1";
};

} // namespace mustardtrail::standin
