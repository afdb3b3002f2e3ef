#pragma once

#include <chrono>

namespace mustardtrail::request
{

struct backend_attempt_options {
    std::chrono::milliseconds connectTimeout{ 250 };
    std::chrono::milliseconds idleTimeout{ 3000 }; ///< Without any byte for this long the connection counts as lost.
    int maxResumes = 3; ///< Tries to pick up one stream again at its engine.
    std::chrono::milliseconds resumeDelay{ 20 }; ///< Before the second and each further try.
    int maxCancels = 3; ///< Times a cancel is sent without an acknowledgement.
    std::chrono::milliseconds cancelInterval{ 500 };
};

} // namespace mustardtrail::request
