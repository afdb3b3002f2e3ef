#include "request/retry_budget.h"

#include <algorithm>

namespace mustardtrail::request
{

namespace
{
constexpr double costOfAttempt = 1.0;
}

retry_budget::retry_budget(retry_budget_options options)
    : m_options(options)
    , m_left(options.burst)
{
}

void retry_budget::onFirstAttempt()
{
    m_left = std::min(m_options.burst, m_left + m_options.share);
}

bool retry_budget::trySpend()
{
    if (m_left < costOfAttempt) {
        return false;
    }
    m_left -= costOfAttempt;
    return true;
}

double retry_budget::left() const
{
    return m_left;
}

} // namespace mustardtrail::request
