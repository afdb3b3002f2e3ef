#pragma once

#include <chrono>

namespace mustardtrail::request
{

struct backend_attempt_options {
    std::chrono::milliseconds connectTimeout{ 250 };
    std::chrono::milliseconds idleTimeout{ 3000 }; ///< A connection that receives no byte for this long counts as lost.
    int maxResumes = 3; ///< Tries to resume one stream at its engine.
    std::chrono::milliseconds resumeDelay{ 20 }; ///< Wait before the second and each further resume.
    int maxCancels = 3; ///< Number of times that an unacknowledged cancel is sent.
    std::chrono::milliseconds cancelInterval{ 500 };
};

} // namespace mustardtrail::request
