#pragma once

#include "base/ids.h"

#include <string>

namespace mustardtrail::config
{

struct data_centre {
    data_centre_id id;
    std::string region;
    bool inService = true; ///< False: gets no new work; what runs there finishes.

    bool operator==(const data_centre &) const = default;
};

} // namespace mustardtrail::config
