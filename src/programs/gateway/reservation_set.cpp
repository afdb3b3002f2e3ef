#include "programs/gateway/reservation_set.h"

#include "programs/gateway/reservation_renewal.h"

namespace mustardtrail::gateway
{

reservation_set::reservation_set(
    gateway_context &context, boost::asio::any_io_executor executor, std::uint64_t work, std::vector<share> shares, attempt_id attempt)
    : m_renewal(std::make_shared<reservation_renewal>(context, std::move(executor), work, std::move(shares), std::move(attempt)))
{
}

reservation_set::~reservation_set()
{
    m_renewal->onGivenUp(nullptr);
    m_renewal->release();
}

boost::asio::awaitable<bool> reservation_set::acquire()
{
    return m_renewal->acquire();
}

void reservation_set::release()
{
    m_renewal->release();
}

void reservation_set::recordUse()
{
    m_renewal->recordUse();
}

void reservation_set::onGivenUp(std::function<void()> hook)
{
    m_renewal->onGivenUp(std::move(hook));
}

std::optional<backend_server_id> reservation_set::refusedBy() const
{
    return m_renewal->refusedBy();
}

std::string reservation_set::nameFor(server_key server) const
{
    return m_renewal->nameFor(server);
}

} // namespace mustardtrail::gateway
