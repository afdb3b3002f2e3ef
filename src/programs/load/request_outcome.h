#pragma once

#include <chrono>
#include <string>

namespace mustardtrail::load
{

enum class outcome_kind {
    finished, ///< Whole and, where the text is known, right.
    refused, ///< A coded answer with the verdict not_run.
    failed, ///< Anything else.
};

/// What came of one request. Times count from its planned arrival, so that a late sender hides nothing.
struct request_outcome {
    outcome_kind kind = outcome_kind::failed;
    int status = 0;
    std::string code; ///< Of a refusal or failure.
    std::string verdict;
    std::chrono::nanoseconds firstToken{ 0 };
    std::chrono::nanoseconds took{ 0 };
};

} // namespace mustardtrail::load
