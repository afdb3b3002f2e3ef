#pragma once

#include "config/configuration.h"
#include "placement/pool_key.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace mustardtrail::host
{

/// Returns the number of a pool: a 30-bit hash, the same on all instances.
std::uint32_t poolNumber(const placement::pool_key &pool);

/// Index of the pools of the configuration in force by their numbers.
class pool_directory
{
public:
    /// Rebuilds the index if the configuration has changed.
    void setConfiguration(std::shared_ptr<const config::configuration> configuration);
    /// Returns null if the configuration has no pool with this number.
    const placement::pool_key *find(std::uint32_t number) const;

private:
    void add(placement::pool_key pool);

    std::shared_ptr<const config::configuration> m_configuration;
    std::unordered_map<std::uint32_t, placement::pool_key> m_pools;
};

} // namespace mustardtrail::host
