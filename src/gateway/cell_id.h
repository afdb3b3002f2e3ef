#pragma once

#include "base/ids.h"

#include <compare>

namespace mustardtrail::gateway
{

/// Names a cell: a bounded group of instances that tell each other all their work, with the backend servers near them.
struct cell_id {
    data_centre_id dataCentre; ///< Empty while the whole fleet is one cell.
    unsigned index = 0; ///< Numbers the cells of one data centre.

    auto operator<=>(const cell_id &) const = default;
};

} // namespace mustardtrail::gateway
