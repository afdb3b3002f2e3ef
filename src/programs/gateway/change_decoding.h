#pragma once

#include "base/error.h"
#include "gateway/published_change.h"
#include "gateway/store_watcher.h"

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::gateway
{

/// Answer of the store, ready to be put into force.
struct decoded_answer {
    std::vector<published_change> changes; ///< Those that this program knows.
    size_t count = 0; ///< Of all changes.
    std::string lastKey; ///< Of all changes; empty without any.
    std::uint64_t revision = 0; ///< Of the store when it answered.
    bool hasMore = false; ///< List only: more pages follow.
    std::vector<std::string> unreadableItems; ///< As key=value pairs for the log.
    std::string forRelay; ///< All changes, compressed; empty if not asked for.
};

/// Decodes an answer and builds the route tables of its configurations. Changes up to `afterRevision` are left out of `changes` if
/// the query asked for changes.
result<decoded_answer> decodeAnswer(store_query::kind asked, std::string body, std::uint64_t afterRevision, bool isForRelay);

/// Decodes what another instance relays, like `decodeAnswer`. Returns nullopt for damaged bytes.
std::optional<std::vector<published_change>> decodeRelay(const std::string &bytes, std::uint64_t afterRevision);

} // namespace mustardtrail::gateway
