#pragma once

#include <cstdint>

namespace mustardtrail::request
{

/// Totals since the start of the process.
struct request_counters {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0; ///< Refused before admission.
    std::uint64_t completed = 0;
    std::uint64_t failed = 0; ///< Admitted and failed.
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0; ///< Attempts after the first of their request.
    std::uint64_t continuations = 0; ///< Retries that went on after delivered text.
    std::uint64_t eventsIgnored = 0; ///< Of attempts that were not live.
};

} // namespace mustardtrail::request
