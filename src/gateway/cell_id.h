#pragma once

#include "base/ids.h"

#include <compare>

namespace mustardtrail::gateway
{

/// Names a cell: a bounded group of instances that tell each other all their work, with the backend servers near them.
struct cell_id {
    data_centre_id dataCentre; ///< Empty while the whole fleet is one cell.
    unsigned index = 0; ///< Numbers the cells of one data centre.

    // clang-tidy 14 reads the generated comparison with 0 as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const cell_id &) const = default;
};

} // namespace mustardtrail::gateway
