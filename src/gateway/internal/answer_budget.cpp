#include "gateway/answer_budget.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::gateway
{

answer_budget::answer_budget(size_t limitBytes)
    : m_limitBytes(limitBytes)
{
}

void answer_budget::setLimit(size_t bytes)
{
    m_limitBytes = bytes;
}

size_t answer_budget::limitBytes() const
{
    return m_limitBytes;
}

size_t answer_budget::heldBytes() const
{
    return m_heldBytes;
}

answer_budget::share::share(answer_budget &budget, std::function<void()> onGivenUp)
    : m_budget(budget)
    , m_onGivenUp(std::move(onGivenUp))
{
    m_budget.m_unfinished.insert(this);
}

answer_budget::share::~share()
{
    m_budget.m_heldBytes -= m_isGivenUp ? 0 : m_bytes;
    m_budget.m_unfinished.erase(this);
}

bool answer_budget::share::resize(size_t bytes)
{
    if (m_isGivenUp) {
        return false;
    }
    m_budget.m_heldBytes = m_budget.m_heldBytes - m_bytes + bytes;
    m_bytes = bytes;
    while (m_budget.m_heldBytes > m_budget.m_limitBytes && !m_budget.m_unfinished.empty()) {
        share *largest = *std::ranges::max_element(m_budget.m_unfinished, {}, &share::m_bytes);
        if (m_bytes == largest->m_bytes) {
            largest = this;
        }
        largest->giveUp();
        if (largest == this) {
            return false;
        }
        if (largest->m_onGivenUp) {
            std::exchange(largest->m_onGivenUp, nullptr)();
        }
    }
    return true;
}

// Its bytes are free once the reader has seen that its connection is closed, which is in the next turn of the event loop.
void answer_budget::share::giveUp()
{
    m_isGivenUp = true;
    m_budget.m_heldBytes -= m_bytes;
    m_budget.m_unfinished.erase(this);
}

void answer_budget::share::finish()
{
    m_budget.m_unfinished.erase(this);
}

bool answer_budget::share::isGivenUp() const
{
    return m_isGivenUp;
}

size_t answer_budget::share::bytes() const
{
    return m_bytes;
}

} // namespace mustardtrail::gateway
