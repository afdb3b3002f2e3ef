#include "base/rcu_cell.h"

#include <urcu/urcu-memb.h>

#ifdef MT_THREAD_SANITIZER
#include <sanitizer/tsan_interface.h>
#endif

namespace mustardtrail::rcu
{

void registerThread()
{
    urcu_memb_register_thread();
}

void unregisterThread()
{
    urcu_memb_unregister_thread();
}

void readLock()
{
    urcu_memb_read_lock();
}

// ThreadSanitizer does not model the memory barriers of liburcu; the annotations establish that a
// reader's unlock happens before synchronize() returns to the writer.
void readUnlock([[maybe_unused]] const void *cell)
{
#ifdef MT_THREAD_SANITIZER
    __tsan_release(const_cast<void *>(cell));
#endif
    urcu_memb_read_unlock();
}

void synchronize([[maybe_unused]] const void *cell)
{
    urcu_memb_synchronize_rcu();
#ifdef MT_THREAD_SANITIZER
    __tsan_acquire(const_cast<void *>(cell));
#endif
}

} // namespace mustardtrail::rcu
