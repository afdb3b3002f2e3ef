#pragma once

#include "config/configuration.h"
#include "membership/fleet_view.h"
#include "membership/internal/listing_book.h"
#include "membership/internal/member_table.h"
#include "membership/internal/ownership_record.h"

#include <map>
#include <memory>
#include <vector>

namespace mustardtrail::membership
{

/// Instances that may own backend servers, by data centre: alive or suspect, in service, not leaving.
using owner_candidates = std::map<data_centre_id, std::vector<instance_id>>;

owner_candidates ownerCandidates(const member_table &members, const config::configuration &config);

/// What a view is built from.
struct view_inputs {
    const member_table &members;
    const listing_book &listings;
    std::shared_ptr<const config::configuration> config;
    bool drains = true;
};

/// View without confirmation, isolation and the node's own claims. Owners are taken over from the view before where
/// neither the configuration nor the candidates of the data centre have changed; `candidates` is brought up to date.
fleet_view buildView(const view_inputs &inputs, const fleet_view *before, owner_candidates &candidates);

/// Backend servers that the view gives to its own instance.
std::set<backend_server_id> ownedBySelf(const fleet_view &view);
void addClaims(fleet_view &view, const ownership_record &record);

} // namespace mustardtrail::membership
