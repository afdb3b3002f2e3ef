#pragma once

#include "http/body_budget.h"

namespace mustardtrail::http
{

/// Memory reservation of one request body; released on destruction.
class body_reservation
{
public:
    explicit body_reservation(body_budget &budget)
        : m_budget(budget)
    {
    }
    ~body_reservation()
    {
        m_budget.release(m_bytes);
    }
    body_reservation(const body_reservation &) = delete;
    body_reservation &operator=(const body_reservation &) = delete;

    /// Returns false, without effect, when the budget does not allow it.
    bool growTo(size_t bytes)
    {
        if (bytes <= m_bytes) {
            return true;
        }
        if (!m_budget.tryReserve(bytes - m_bytes)) {
            return false;
        }
        m_bytes = bytes;
        return true;
    }

private:
    body_budget &m_budget;
    size_t m_bytes = 0;
};

} // namespace mustardtrail::http
