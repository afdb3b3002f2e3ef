#include "membership/internal/news_queue.h"

namespace mustardtrail::membership
{

int newsRepeats(int factor, size_t members)
{
    constexpr size_t base = 10;
    int digits = 1;
    for (size_t rest = members; rest >= base; rest /= base) {
        ++digits;
    }
    return factor * digits;
}

} // namespace mustardtrail::membership
