#pragma once

#include "config/configuration.h"
#include "placement/pool_key.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace mustardtrail::host
{

/// 30-bit hash of the kind and name of a pool, which identifies it on the wire; the same on all instances.
std::uint32_t poolNumber(const placement::pool_key &pool);

/// Looks up the pools of the configuration in force by poolNumber().
class pool_directory
{
public:
    /// Rebuilds the table when the configuration changed.
    void setConfiguration(std::shared_ptr<const config::configuration> configuration);
    /// Returns null if the configuration has no pool with this number.
    const placement::pool_key *find(std::uint32_t number) const;

private:
    void add(placement::pool_key pool);

    std::shared_ptr<const config::configuration> m_configuration;
    std::unordered_map<std::uint32_t, placement::pool_key> m_pools;
};

} // namespace mustardtrail::host
