#pragma once

#include "base/ids.h"

#include <chrono>
#include <cstdint>
#include <map>

namespace mustardtrail::gateway
{

/// Hash that stands for a customer in messages between instances; 0: none.
using customer_key = std::uint64_t;

/// Prefill time at the engines by customer.
using prefill_by_customer = std::map<customer_key, std::chrono::microseconds>;

/// Prefill time that one customer's requests took lately.
struct customer_prefill {
    customer_key customer = 0;
    std::chrono::milliseconds prefill{ 0 };
};

/// Returns 0 for a request without a customer.
customer_key keyOf(const customer_id &customer);

} // namespace mustardtrail::gateway
