#pragma once

#include "base/error_code.h"
#include "base/ids.h"
#include "base/verdict.h"

#include <chrono>
#include <optional>

namespace mustardtrail::request
{

enum class key_claim_status {
    granted,
    duplicate, ///< Another request holds the key; `outcome` is what is known of that request.
    fingerprint_differs, ///< Another request with a different body holds the key.
    refused, ///< The home cannot decide; `code` gives the reason.
};

/// Reply of a home to a key_claim.
struct key_claim_reply {
    request_id request;
    instance_id home;
    key_claim_status status = key_claim_status::refused;
    bool incompleteHistory
        = false; ///< The home has not been home of this key for as long as a key may be held, so it may have missed an earlier claim.
    verdict outcome = verdict::not_run; ///< Verdict on the request that holds the key.
    error_code code = error_code::none;
    std::optional<std::chrono::milliseconds> retryAfter;

    bool operator==(const key_claim_reply &) const = default;
};

} // namespace mustardtrail::request
