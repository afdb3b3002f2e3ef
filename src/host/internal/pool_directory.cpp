#include "host/pool_directory.h"

#include "base/hash.h"

#include <utility>

namespace mustardtrail::host
{

namespace
{

constexpr unsigned numberBits = 30;

} // namespace

std::uint32_t poolNumber(const placement::pool_key &pool)
{
    return static_cast<std::uint32_t>(hash64(pool.name, static_cast<std::uint64_t>(pool.kind)) >> (64 - numberBits));
}

void pool_directory::setConfiguration(std::shared_ptr<const config::configuration> configuration)
{
    if (configuration == m_configuration) {
        return;
    }
    m_configuration = std::move(configuration);
    m_pools.clear();
    if (m_configuration == nullptr) {
        return;
    }
    for (const model_id &model : m_configuration->models) {
        add({ placement::pool_kind::model, model.str() });
    }
    for (const auto &[id, server] : m_configuration->backendServers) {
        if (server.kind == config::backend_server_kind::service) {
            add({ placement::pool_kind::service, server.service.str() });
        }
    }
}

const placement::pool_key *pool_directory::find(std::uint32_t number) const
{
    const auto found = m_pools.find(number);
    return found == m_pools.end() ? nullptr : &found->second;
}

void pool_directory::add(placement::pool_key pool)
{
    const std::uint32_t number = poolNumber(pool);
    m_pools.try_emplace(number, std::move(pool));
}

} // namespace mustardtrail::host
