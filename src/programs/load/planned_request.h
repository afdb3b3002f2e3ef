#pragma once

#include "base/units.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace mustardtrail::load
{

/// One request of the plan.
struct planned_request {
    std::chrono::nanoseconds at{ 0 }; ///< From the start of the phase.
    size_t entry = 0; ///< Index of the entry address.
    std::string customer;
    std::string workClass;
    token_count promptTokens = 0;
    std::uint64_t promptNumber = 0; ///< Makes the prompt differ from all others.
};

} // namespace mustardtrail::load
