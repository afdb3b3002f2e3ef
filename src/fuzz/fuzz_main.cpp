#include "fuzz/fuzz_target.h"

#include <cstddef>
#include <cstdint>

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t *data, std::size_t size)
{
    mustardtrail::fuzz::readAnyBytes({ reinterpret_cast<const char *>(data), size });
    return 0;
}
