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
    duplicate, ///< Another request holds the key; outcome says what is known of it.
    fingerprint_differs, ///< Another request with another body holds the key.
    refused, ///< The home cannot decide; code says why.
};

/// Answer of a home to a key_claim.
struct key_claim_reply {
    request_id request;
    instance_id home;
    key_claim_status status = key_claim_status::refused;
    bool incompleteHistory = false; ///< Granted, but the home was not home of this key for as long as a key may be held.
    verdict outcome = verdict::not_run; ///< Of the request that holds the key.
    error_code code = error_code::none;
    std::optional<std::chrono::milliseconds> retryAfter;

    bool operator==(const key_claim_reply &) const = default;
};

} // namespace mustardtrail::request
