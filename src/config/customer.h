#pragma once

#include "base/ids.h"

namespace mustardtrail::config
{

struct customer {
    customer_id id;

    bool operator==(const customer &) const = default;
};

} // namespace mustardtrail::config
