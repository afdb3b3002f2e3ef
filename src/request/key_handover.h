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

/// Record of one idempotency key at its home.
struct held_key {
    request_id request;
    customer_id customer;
    std::string key;
    std::uint64_t fingerprint = 0;
    bool running = true;
    verdict outcome = verdict::may_have_run;
    std::chrono::milliseconds left{ 0 }; ///< Time until the record expires.

    bool operator==(const held_key &) const = default;
};

/// Most keys in one message.
constexpr std::size_t maxKeysPerHandover = 500;

/// Transfers key records to another home: from a home that stops, or to one that is new. Idempotent.
struct key_handover {
    instance_id home; ///< Receiver.
    std::vector<held_key> keys;

    bool operator==(const key_handover &) const = default;
};

} // namespace mustardtrail::request
