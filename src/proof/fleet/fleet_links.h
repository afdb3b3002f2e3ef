#pragma once

#include "proof/fleet/process_fleet.h"

#include <set>
#include <vector>

namespace mustardtrail::proof
{

/// Network partitions between the processes of a fleet that was started with fleet_options::allowCuts.
/// The links within a data centre and those of callers stay whole.
class fleet_links
{
public:
    explicit fleet_links(process_fleet &fleet);

    /// Both ways; instances, engines and services.
    void cutDataCentres(size_t one, size_t other);
    /// The data centre no longer reaches the configuration service and the live list.
    void cutPlatform(size_t dataCentre);
    void healAll();

private:
    std::set<endpoint> addressesOf(size_t dataCentre) const;
    void apply(size_t dataCentre);

    process_fleet &m_fleet;
    std::vector<std::set<endpoint>> m_cuts; ///< By data centre, which is the index of its instance.
};

} // namespace mustardtrail::proof
