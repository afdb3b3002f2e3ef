#pragma once

#include "base/endpoint.h"
#include "base/ids.h"
#include "membership/fleet_view.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace mustardtrail::membership
{

struct send_datagram {
    endpoint to;
    std::string bytes;
};

/// Read the configuration service; a wait above zero watches for a change. Answered by config_read_result.
struct read_config {
    std::int64_t afterRevision = 0;
    std::chrono::milliseconds wait{ 0 };
    std::chrono::milliseconds timeout{ 0 }; ///< Whole call, wait included.
};

/// Read the platform's list. Answered by live_list_result.
struct read_live_list {
    std::chrono::milliseconds timeout{ 0 };
};

/// Ask a peer for what changed after a revision. Answered by delta_received.
struct fetch_delta {
    instance_id peer;
    endpoint view; ///< Address of the peer's datagrams, where its view answers calls too.
    std::int64_t afterRevision = 0;
    std::chrono::milliseconds timeout{ 0 };
};

/// Reply to delta_requested.
struct answer_delta {
    std::uint64_t request = 0;
    std::string body;
};

/// Hand the view to the request path.
struct publish_view {
    std::shared_ptr<const fleet_view> view;
};

/// Load summaries that came with a peer's datagram.
struct load_summaries_received {
    instance_id peer;
    std::vector<std::string> summaries;
};

struct log_event {
    std::string line;
};

using view_action
    = std::variant<send_datagram, read_config, read_live_list, fetch_delta, answer_delta, publish_view, load_summaries_received, log_event>;

} // namespace mustardtrail::membership
