#pragma once

#include <atomic>
#include <cstddef>

namespace mustardtrail::http
{

/// Bytes of request bodies that one process holds at once.
class body_budget
{
public:
    explicit body_budget(size_t limitBytes);

    /// Takes the bytes, or nothing when they would go over the limit.
    bool tryReserve(size_t bytes);
    void release(size_t bytes);
    size_t usedBytes() const;

private:
    const size_t m_limitBytes;
    std::atomic<size_t> m_usedBytes{ 0 };
};

} // namespace mustardtrail::http
