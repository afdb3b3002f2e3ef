#pragma once

#include "base/ids.h"

#include <chrono>

namespace mustardtrail::config
{

/// Class of work that operators declare: its targets and whether a request may be repeated.
struct work_class {
    class_id id;
    std::chrono::milliseconds firstTokenTarget{ 0 }; ///< From arrival to the first token of the answer.
    std::chrono::milliseconds totalTarget{ 0 }; ///< From arrival to the end of the answer.
    bool repeatable = false; ///< True: running a request twice does no harm.

    bool operator==(const work_class &) const = default;
};

} // namespace mustardtrail::config
