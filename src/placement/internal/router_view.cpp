#include "placement/internal/router_impl.h"

#include <algorithm>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace mustardtrail::placement
{

namespace
{

constexpr std::chrono::milliseconds otherDataCentreDistance{ 20 };
constexpr std::chrono::milliseconds otherRegionDistance{ 150 };

/// Most views only renew the lease of the previous one and need no rebuild.
bool sameFleet(const membership::fleet_view &left, const membership::fleet_view &right)
{
    return left.config == right.config && left.selfLeaving == right.selfLeaving && left.peers == right.peers
        && left.backends == right.backends;
}

} // namespace

void router::implementation::onView(std::shared_ptr<const membership::fleet_view> view, time_point now)
{
    const bool unchanged = m_view != nullptr && view != nullptr && sameFleet(*m_view, *view);
    m_view = std::move(view);
    if (unchanged) {
        return;
    }
    std::map<pool_key, pool_owners> pools = buildPools();
    for (auto &[key, pool] : pools) {
        carryOverLoads(pool, m_pools[key], now);
        std::vector<std::string_view> names;
        for (const owner_entry &owner : pool.owners) {
            names.push_back(owner.instance.str());
        }
        pool.ring.assign(names);
    }
    m_pools = std::move(pools);
}

void router::implementation::carryOverLoads(pool_owners &pool, pool_owners &old, time_point now)
{
    for (owner_entry &owner : pool.owners) {
        const auto known = old.index.find(owner.instance);
        if (known == old.index.end()) {
            owner.load.onServersAdded(now);
            continue;
        }
        owner_entry &before = old.owners[known->second];
        owner.load = std::move(before.load);
        if (hasServersAdded(owner, before)) {
            owner.load.onServersAdded(now);
        }
    }
}

// std::includes needs sorted lists: both are in the order of the configuration.
bool router::implementation::hasServersAdded(const owner_entry &owner, const owner_entry &old)
{
    return !std::includes(old.backends.begin(), old.backends.end(), owner.backends.begin(), owner.backends.end());
}

std::map<pool_key, router::implementation::pool_owners> router::implementation::buildPools() const
{
    std::map<pool_key, pool_owners> pools;
    if (m_view == nullptr || m_view->config == nullptr) {
        return pools;
    }
    for (const auto &[id, server] : m_view->config->backendServers) {
        const auto assignment = m_view->backends.find(id);
        std::vector<pool_key> keys;
        for (const model_id &model : server.models) {
            keys.push_back({ pool_kind::model, model.str() });
        }
        if (server.kind == config::backend_server_kind::service) {
            keys.push_back({ pool_kind::service, server.service.str() });
        }
        for (const pool_key &key : keys) {
            pool_owners &pool = pools[key];
            pool.configured = true;
            if (assignment != m_view->backends.end()) {
                addBackend(pool, server, assignment->second);
            }
        }
    }
    for (auto &[key, pool] : pools) {
        std::sort(pool.owners.begin(), pool.owners.end(), [](const owner_entry &left, const owner_entry &right) {
            return left.instance < right.instance;
        });
        for (std::size_t position = 0; position < pool.owners.size(); ++position) {
            pool.index[pool.owners[position].instance] = position;
        }
    }
    return pools;
}

void router::implementation::addBackend(
    pool_owners &pool, const config::backend_server &server, const membership::backend_assignment &assignment) const
{
    if (assignment.owner.empty() || !assignment.acceptsNewWork || !takesForwardedWork(assignment.owner)) {
        return;
    }
    pool.largestMemory = std::max(pool.largestMemory, server.memoryTokens);
    const auto [index, added] = pool.index.try_emplace(assignment.owner, pool.owners.size());
    if (added) {
        pool.owners.push_back({ assignment.owner, distanceTo(server.dataCentre), {}, {} });
    }
    pool.owners[index->second].backends.push_back(server.id);
}

bool router::implementation::takesForwardedWork(const instance_id &owner) const
{
    if (owner == m_view->self) {
        return !m_view->selfLeaving;
    }
    const auto peer = m_view->peers.find(owner);
    if (peer == m_view->peers.end()) {
        return false;
    }
    return peer->second.state == membership::peer_state::alive || peer->second.state == membership::peer_state::suspect;
}

std::chrono::nanoseconds router::implementation::distanceTo(const data_centre_id &dataCentre) const
{
    if (dataCentre == m_view->selfDataCentre) {
        return std::chrono::nanoseconds(0);
    }
    const auto &centres = m_view->config->dataCentres;
    const auto own = centres.find(m_view->selfDataCentre);
    const auto other = centres.find(dataCentre);
    const bool sameRegion = own == centres.end() || other == centres.end() || own->second.region == other->second.region;
    return sameRegion ? otherDataCentreDistance : otherRegionDistance;
}

boost::json::value router::implementation::dump(time_point now) const
{
    boost::json::array pools;
    for (const auto &[key, pool] : m_pools) {
        boost::json::array owners;
        for (const owner_entry &owner : pool.owners) {
            boost::json::object entry;
            entry["owner"] = owner.instance.str();
            entry["backend_servers"] = owner.backends.size();
            entry["summary_known"] = owner.load.hasFreshSummary(now);
            entry["sent_since"] = owner.load.sentSinceSummary();
            entry["first_token_ms"]
                = std::chrono::duration_cast<std::chrono::milliseconds>(owner.load.predictBySummary(summaryShortTokens, now)).count();
            if (const auto takenAt = owner.load.takenAt()) {
                entry["summary_age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - *takenAt).count();
            }
            owners.push_back(std::move(entry));
        }
        pools.push_back(boost::json::object{ { "name", key.name }, { "owners", std::move(owners) } });
    }
    return boost::json::object{ { "pools", std::move(pools) } };
}

} // namespace mustardtrail::placement
