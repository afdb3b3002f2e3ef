#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "membership/listing.h"

#include <cstdint>
#include <string>

namespace mustardtrail::membership
{

/// One entry of the platform's list.
struct live_list_entry {
    std::string id;
    listing_kind kind = listing_kind::instance;
    data_centre_id dataCentre;
    endpoint requests;
    endpoint heartbeats; ///< Instances only.
    listing_state state = listing_state::live;
    std::uint64_t incarnation = 0;

    bool operator==(const live_list_entry &) const = default;
};

} // namespace mustardtrail::membership
