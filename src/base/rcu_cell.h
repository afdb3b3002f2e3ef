#pragma once

#include <atomic>
#include <memory>
#include <utility>

namespace mustardtrail
{

namespace rcu
{
void registerThread();
void unregisterThread();
void readLock();
void readUnlock(const void *cell);
void synchronize(const void *cell);
} // namespace rcu

/// Registers the current thread as a reader of rcu_cell for its lifetime.
class rcu_thread
{
public:
    rcu_thread()
    {
        rcu::registerThread();
    }
    ~rcu_thread()
    {
        rcu::unregisterThread();
    }
    rcu_thread(const rcu_thread &) = delete;
    rcu_thread &operator=(const rcu_thread &) = delete;
};

/// Immutable value with lock-free readers and one writer that replaces it.
/// A reading thread must hold an rcu_thread. load() copies the shared pointer, so the value outlives its replacement.
template<typename value> class rcu_cell
{
public:
    explicit rcu_cell(std::shared_ptr<const value> initial)
        : m_current(new std::shared_ptr<const value>(std::move(initial)))
    {
    }
    ~rcu_cell()
    {
        delete m_current.load();
    }
    rcu_cell(const rcu_cell &) = delete;
    rcu_cell &operator=(const rcu_cell &) = delete;

    std::shared_ptr<const value> load() const
    {
        rcu::readLock();
        std::shared_ptr<const value> copy = *m_current.load(std::memory_order_acquire);
        rcu::readUnlock(this);
        return copy;
    }

    /// Replaces the value and waits until no reader accesses the old one. One writer at a time.
    void store(std::shared_ptr<const value> next)
    {
        auto *old = m_current.exchange(new std::shared_ptr<const value>(std::move(next)), std::memory_order_acq_rel);
        rcu::synchronize(this);
        delete old;
    }

private:
    std::atomic<std::shared_ptr<const value> *> m_current;
};

} // namespace mustardtrail
