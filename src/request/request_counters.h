#pragma once

#include <cstdint>

namespace mustardtrail::request
{

/// Totals since the start of the process.
struct request_counters {
    std::uint64_t admitted = 0;
    std::uint64_t refused = 0; ///< Failed the checks at admission.
    std::uint64_t completed = 0;
    std::uint64_t failed = 0; ///< Admitted requests that failed.
    std::uint64_t attempts = 0;
    std::uint64_t retries = 0; ///< Attempts after the first of a request.
    std::uint64_t continuations = 0; ///< Retries that continued an answer after delivered text.
    std::uint64_t eventsIgnored = 0; ///< Stale or duplicate events of requests and attempts.
};

} // namespace mustardtrail::request
