#pragma once

#include "base/error.h"
#include "base/ids.h"
#include "group/group_key.h"
#include "placement/work_item.h"

#include <boost/json/object.hpp>

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::node
{

/// Completion of a prompt whose segments are held by a group of engines.
struct group_target {
    group::engine_group_id group;
    backend_server_id backend; ///< Last engine of the group; it decodes.
    std::string digest; ///< Of the whole prompt.
};

/// Attempt that an origin hands to the owner of a backend server.
struct hop_attempt {
    placement::work_item work;
    instance_id origin;
    std::vector<backend_server_id> excluded; ///< Backend servers that failed this request before.
    token_count deliveredTokens = 0; ///< Answer tokens that the caller has already.
    std::string deliveredText; ///< Their text; between instances it travels in the body.
    std::optional<group_target> group;
};

/// Plain encoding; times travel as what is left of them.
boost::json::object toJson(const hop_attempt &attempt, time_point now);
/// Refuses unknown, missing and mistyped members with peer_message_invalid.
result<hop_attempt> hopAttemptFromJson(const boost::json::object &message, time_point now);

} // namespace mustardtrail::node
