#pragma once

#include "placement/candidate_ring.h"
#include "placement/internal/owner_load.h"
#include "placement/router.h"

#include <map>
#include <string>
#include <unordered_map>

namespace mustardtrail::placement
{

/// Implementation of router.
class router::implementation
{
public:
    explicit implementation(placement_options options);

    void onView(std::shared_ptr<const membership::fleet_view> view, time_point now);
    void onSummary(const owner_summary &summary);
    result<route> pick(const work_item &work, const route_exclusions &excluded, time_point now);
    boost::json::value dump(time_point now) const;

private:
    /// One owner of backend servers of a pool.
    struct owner_entry {
        instance_id instance;
        std::chrono::nanoseconds distance{ 0 }; ///< Added to the predicted time to first token when owners are compared.
        std::vector<backend_server_id> backends;
        owner_load load;
    };
    struct pool_owners {
        std::vector<owner_entry> owners; ///< Sorted by instance.
        std::unordered_map<instance_id, std::size_t> index; ///< Position in owners.
        candidate_ring ring;
        token_count largestMemory = 0;
        bool configured = false; ///< The configuration has a backend server for the pool, in service or not.
    };
    struct choice {
        owner_entry *best = nullptr;
        owner_entry *preferred = nullptr;
        std::chrono::nanoseconds bestCost{ std::chrono::nanoseconds::max() };
        std::chrono::nanoseconds preferredCost{ 0 };
        std::chrono::nanoseconds soonest{ std::chrono::nanoseconds::max() }; ///< Earliest first token by summaries alone.
        bool allMayRefuse = true;
    };

    std::map<pool_key, pool_owners> buildPools() const;
    static void carryOverLoads(pool_owners &pool, pool_owners &old, time_point now);
    static bool hasServersAdded(const owner_entry &owner, const owner_entry &old);
    void addBackend(pool_owners &pool, const config::backend_server &server, const membership::backend_assignment &assignment) const;
    bool takesForwardedWork(const instance_id &owner) const;
    std::chrono::nanoseconds distanceTo(const data_centre_id &dataCentre) const;
    bool concentrates(const work_item &work) const;
    choice choose(
        pool_owners &pool, const work_item &work, int priority, const route_exclusions &excluded, std::size_t maxSampled, time_point now);
    static bool isExcluded(const owner_entry &owner, const route_exclusions &excluded);
    static backend_server_id preferredBackend(const owner_entry &owner, const work_item &work, const route_exclusions &excluded);

    placement_options m_options;
    std::shared_ptr<const membership::fleet_view> m_view;
    std::map<pool_key, pool_owners> m_pools;
    std::vector<std::uint32_t> m_picked;
};

} // namespace mustardtrail::placement
