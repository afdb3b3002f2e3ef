#pragma once

#include <cstdint>

namespace mustardtrail::gateway
{

/// Identity of a part of a prompt in messages between instances: hash of its id. The same at all services, as a part that
/// crashes servers does so wherever its route leads.
///
/// A part is shared, so that other prompts may hold it too, or own: it belongs to one request or session and comes again only with
/// that. A request without parts counts as an own part.
using prompt_part = std::uint64_t;

inline constexpr prompt_part ownPartFlag = prompt_part{ 1 } << 63;

constexpr prompt_part asOwnPart(std::uint64_t hash)
{
    return hash | ownPartFlag;
}

constexpr prompt_part asSharedPart(std::uint64_t hash)
{
    return hash & ~ownPartFlag;
}

constexpr bool isOwnPart(prompt_part part)
{
    return (part & ownPartFlag) != 0;
}

} // namespace mustardtrail::gateway
