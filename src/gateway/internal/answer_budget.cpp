#include "gateway/answer_budget.h"

#include <algorithm>
#include <utility>

namespace mustardtrail::gateway
{

namespace
{

constexpr size_t partsOfLimit = 4; // One of them is left to unfinished answers, however much the finished ones hold.

} // namespace

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

size_t answer_budget::unfinishedRoom() const
{
    return std::max(m_limitBytes - std::min(m_limitBytes, m_finishedBytes), m_limitBytes / partsOfLimit);
}

size_t answer_budget::heldBytes() const
{
    return m_unfinishedBytes + m_finishedBytes;
}

answer_budget::share::share(answer_budget &budget, std::function<void()> onGivenUp)
    : m_budget(budget)
    , m_onGivenUp(std::move(onGivenUp))
{
    m_budget.m_unfinished.insert(this);
}

answer_budget::share::~share()
{
    if (m_isFinished) {
        m_budget.m_finishedBytes -= m_bytes;
    } else if (!m_isGivenUp) {
        leaveUnfinished();
    }
}

bool answer_budget::share::resize(size_t bytes)
{
    if (m_isGivenUp || m_isFinished) {
        return m_isFinished;
    }
    m_budget.m_unfinishedBytes = m_budget.m_unfinishedBytes - m_bytes + bytes;
    m_bytes = bytes;
    while (m_budget.m_unfinishedBytes > m_budget.unfinishedRoom()) {
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
    leaveUnfinished();
}

void answer_budget::share::leaveUnfinished()
{
    m_budget.m_unfinishedBytes -= m_bytes;
    m_budget.m_unfinished.erase(this);
}

bool answer_budget::share::finish()
{
    if (m_isGivenUp || m_isFinished) {
        return m_isFinished;
    }
    if (m_budget.m_finishedBytes + m_bytes > m_budget.m_limitBytes) {
        giveUp();
        return false;
    }
    leaveUnfinished();
    m_isFinished = true;
    m_budget.m_finishedBytes += m_bytes;
    return true;
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
