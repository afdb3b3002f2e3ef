#pragma once

#include <atomic>
#include <cstddef>

namespace mustardtrail::http
{

/// Limits the total bytes of request bodies that one process holds at once.
class body_budget
{
public:
    explicit body_budget(size_t limitBytes);

    /// Reserves the bytes; returns false, without effect, when that would exceed the limit.
    bool tryReserve(size_t bytes);
    void release(size_t bytes);
    size_t usedBytes() const;

private:
    const size_t m_limitBytes;
    std::atomic<size_t> m_usedBytes{ 0 };
};

} // namespace mustardtrail::http
