#pragma once

#include <cstddef>
#include <functional>
#include <set>

namespace mustardtrail::gateway
{

/// Limits the bytes of servers' answers that an instance holds at once. Beyond the limit the largest answer is given up, not the
/// newest one: answers without end cost no small answer its place.
class answer_budget
{
public:
    class share;

    explicit answer_budget(size_t limitBytes);
    answer_budget(const answer_budget &) = delete;
    answer_budget &operator=(const answer_budget &) = delete;

    /// A lower limit than what is held takes effect with the next answer that grows.
    void setLimit(size_t bytes);
    size_t limitBytes() const;
    size_t heldBytes() const;

private:
    size_t m_limitBytes;
    size_t m_unfinishedBytes = 0;
    size_t m_finishedBytes = 0;
    size_t unfinishedRoom() const;

    std::set<share *> m_unfinished; ///< Answers that can be given up.
};

/// What one answer holds, until it is destroyed.
class answer_budget::share
{
public:
    /// `onGivenUp` is called at most once, when another answer's growth makes this one be given up. It must not destroy the share.
    share(answer_budget &budget, std::function<void()> onGivenUp);
    ~share();
    share(const share &) = delete;
    share &operator=(const share &) = delete;

    /// Sets the bytes that the answer holds. Returns false when it is to be given up, also if it was given up before.
    bool resize(size_t bytes);
    /// The answer is complete: it counts on and is not given up any more. Returns false when it is to be given up, as too many finished
    /// ones wait for their callers.
    bool finish();
    bool isGivenUp() const;
    size_t bytes() const;

private:
    void giveUp();
    /// It is no unfinished answer any more, and counts nothing as one.
    void leaveUnfinished();

    answer_budget &m_budget;
    std::function<void()> m_onGivenUp;
    size_t m_bytes = 0;
    bool m_isGivenUp = false;
    bool m_isFinished = false;
};

} // namespace mustardtrail::gateway
