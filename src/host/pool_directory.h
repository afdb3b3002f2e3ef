#pragma once

#include "config/configuration.h"
#include "placement/pool_key.h"

#include <cstdint>
#include <memory>
#include <unordered_map>

namespace mustardtrail::host
{

/// Short number of a pool, the same on all instances; 30 bits.
std::uint32_t poolNumber(const placement::pool_key &pool);

/// Pools of the configuration in force by their short numbers.
class pool_directory
{
public:
    /// Reads the pools when the configuration is another than before.
    void setConfiguration(std::shared_ptr<const config::configuration> configuration);
    /// Null when the configuration has no such pool.
    const placement::pool_key *find(std::uint32_t number) const;

private:
    void add(placement::pool_key pool);

    std::shared_ptr<const config::configuration> m_configuration;
    std::unordered_map<std::uint32_t, placement::pool_key> m_pools;
};

} // namespace mustardtrail::host
