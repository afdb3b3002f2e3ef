#include "fuzz/fuzz_target.h"

#include <cstdlib>

namespace mustardtrail::fuzz
{

void require(bool condition)
{
    if (!condition) {
        std::abort();
    }
}

} // namespace mustardtrail::fuzz
