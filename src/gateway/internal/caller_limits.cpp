#include "gateway/caller_limits.h"

#include <algorithm>

namespace mustardtrail::gateway
{

bool caller_limits::apply(const published_limits &published, std::uint64_t publishedVersion)
{
    const caller_limits before = *this;
    headerBytes = std::min(published.headerBytes.value_or(headerBytes), maxHeaderBytes);
    bodyBytes = std::min(published.bodyBytes.value_or(bodyBytes), maxBodyBytes);
    version = publishedVersion;
    return headerBytes != before.headerBytes || bodyBytes != before.bodyBytes;
}

std::string toString(const caller_limits &limits)
{
    return "header_bytes=" + std::to_string(limits.headerBytes) + " body_bytes=" + std::to_string(limits.bodyBytes);
}

} // namespace mustardtrail::gateway
