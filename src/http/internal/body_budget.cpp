#include "http/body_budget.h"

namespace mustardtrail::http
{

body_budget::body_budget(size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

bool body_budget::tryReserve(size_t bytes)
{
    size_t used = m_usedBytes.load(std::memory_order_relaxed);
    do {
        if (bytes > m_limitBytes - used) {
            return false;
        }
    } while (!m_usedBytes.compare_exchange_weak(used, used + bytes, std::memory_order_relaxed));
    return true;
}

void body_budget::release(size_t bytes)
{
    m_usedBytes.fetch_sub(bytes, std::memory_order_relaxed);
}

size_t body_budget::usedBytes() const
{
    return m_usedBytes.load(std::memory_order_relaxed);
}

} // namespace mustardtrail::http
