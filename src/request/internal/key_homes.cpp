#include "request/key_homes.h"

#include "base/hash.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace mustardtrail::request
{

namespace
{

std::uint64_t keySeed(const customer_id &customer, const std::string &key)
{
    return hash64(key, hash64(customer.str()));
}

bool mayBeHome(const membership::peer &peer, const config::configuration &config)
{
    if (config.instancesOutOfService.contains(peer.id)) {
        return false;
    }
    // A suspected instance stays a home until it is declared dead, so that a missed probe moves no key.
    return peer.state == membership::peer_state::alive || peer.state == membership::peer_state::suspect;
}

std::vector<data_centre_id> dataCentresInService(const config::configuration &config)
{
    std::vector<data_centre_id> ids;
    for (const auto &[id, dataCentre] : config.dataCentres) {
        if (dataCentre.inService) {
            ids.push_back(id);
        }
    }
    return ids;
}

std::vector<instance_id> liveInstances(const membership::fleet_view &view, const data_centre_id &dataCentre)
{
    std::vector<instance_id> ids;
    for (const auto &[id, peer] : view.peers) {
        if (peer.dataCentre == dataCentre && mayBeHome(peer, *view.config)) {
            ids.push_back(id);
        }
    }
    const bool selfServes = !view.selfLeaving && !view.config->instancesOutOfService.contains(view.self);
    if (view.selfDataCentre == dataCentre && selfServes) {
        ids.push_back(view.self);
    }
    std::sort(ids.begin(), ids.end());
    return ids;
}

/// Rendezvous hashing: returns the homesPerKey instances with the highest hash for the seed.
std::vector<instance_id> highestWeighted(const std::vector<instance_id> &instances, std::uint64_t seed)
{
    std::vector<std::pair<std::uint64_t, const instance_id *>> weights;
    weights.reserve(instances.size());
    for (const instance_id &instance : instances) {
        weights.emplace_back(hash64(instance.str(), seed), &instance);
    }
    const std::size_t count = std::min(homesPerKey, weights.size());
    const auto middle = weights.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(weights.begin(), middle, weights.end(), [](const auto &left, const auto &right) {
        return left.first != right.first ? left.first > right.first : *left.second < *right.second;
    });
    std::vector<instance_id> homes;
    for (auto entry = weights.begin(); entry != middle; ++entry) {
        homes.push_back(*entry->second);
    }
    return homes;
}

} // namespace

home_candidates homeCandidates(const membership::fleet_view &view, const data_centre_id &dataCentre)
{
    return { dataCentresInService(*view.config), dataCentre, liveInstances(view, dataCentre) };
}

data_centre_id homeDataCentre(const std::vector<data_centre_id> &dataCentres, const customer_id &customer, const std::string &key)
{
    const std::uint64_t seed = keySeed(customer, key);
    data_centre_id best;
    std::uint64_t bestWeight = 0;
    for (const data_centre_id &id : dataCentres) {
        const std::uint64_t weight = hash64(id.str(), seed);
        if (best.empty() || weight > bestWeight) {
            best = id;
            bestWeight = weight;
        }
    }
    return best;
}

std::vector<instance_id> keyHomes(const membership::fleet_view &view, const customer_id &customer, const std::string &key)
{
    const data_centre_id dataCentre = homeDataCentre(dataCentresInService(*view.config), customer, key);
    return highestWeighted(liveInstances(view, dataCentre), keySeed(customer, key));
}

std::vector<instance_id> homesAmong(const home_candidates &candidates, const customer_id &customer, const std::string &key)
{
    if (homeDataCentre(candidates.dataCentres, customer, key) != candidates.dataCentre) {
        return {};
    }
    return highestWeighted(candidates.instances, keySeed(customer, key));
}

bool isKeyHome(const home_candidates &candidates, const instance_id &instance, const customer_id &customer, const std::string &key)
{
    const std::vector<instance_id> homes = homesAmong(candidates, customer, key);
    return std::find(homes.begin(), homes.end(), instance) != homes.end();
}

} // namespace mustardtrail::request
