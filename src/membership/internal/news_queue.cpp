#include "membership/internal/news_queue.h"

namespace mustardtrail::membership
{

int newsRepeats(int factor, size_t members)
{
    constexpr size_t base = 10;
    int steps = 2;
    for (size_t rest = members; rest >= base; rest /= base) {
        ++steps;
    }
    return factor * steps;
}

} // namespace mustardtrail::membership
