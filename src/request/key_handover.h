#pragma once

#include "base/ids.h"
#include "base/verdict.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::request
{

/// One idempotency key as its home holds it.
struct held_key {
    request_id request;
    customer_id customer;
    std::string key;
    std::uint64_t fingerprint = 0;
    bool running = true;
    verdict outcome = verdict::may_have_run;
    std::chrono::milliseconds left{ 0 }; ///< How long it is still remembered.

    bool operator==(const held_key &) const = default;
};

/// Keys held in one message at most.
constexpr std::size_t maxKeysPerHandover = 500;

/// Sent by a home that stops to the instance that will be home after it. Sending it again is harmless.
struct key_handover {
    instance_id home; ///< Whom it is for.
    std::vector<held_key> keys;

    bool operator==(const key_handover &) const = default;
};

} // namespace mustardtrail::request
