#pragma once

#include "platform/store_reply.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Encodes changes of the store for the other instances, compressed: a configuration of a hundred routes then fits into a datagram.
std::string encodeRelayedChanges(const std::vector<platform::store_change> &changes);
/// Returns nullopt for damaged bytes, and for bytes that expand to more than a store's answer can hold.
std::optional<std::vector<platform::store_change>> decodeRelayedChanges(const std::string &bytes);

} // namespace mustardtrail::gateway
