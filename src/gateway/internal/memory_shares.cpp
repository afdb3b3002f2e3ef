#include "gateway/memory_shares.h"

namespace mustardtrail::gateway
{

namespace
{

constexpr std::int64_t defaultMegabytes = 256;
constexpr size_t bytesPerMegabyte = 1024 * 1024;

} // namespace

memory_shares memory_shares::of(std::int64_t megabytes)
{
    const size_t limit = static_cast<size_t>(megabytes > 0 ? megabytes : defaultMegabytes) * bytesPerMegabyte;
    return { limit / 4, limit / 8, limit / 8 };
}

} // namespace mustardtrail::gateway
