#pragma once

#include "base/error.h"
#include "host/pool_directory.h"
#include "http/request_message.h"
#include "node/entry_actions.h"
#include "programs/entry/payload.h"
#include "programs/entry/sessions.h"

#include <chrono>
#include <memory>
#include <optional>
#include <string>

namespace mustardtrail::entry
{

/// Path of forwarded attempts on the peers' port.
constexpr std::string_view hopPath = "/hop";

/// An owner that has nothing to say sends this comment, so that a silent link is told from a long wait.
constexpr std::string_view hopAliveText = ": alive\n\n";
constexpr std::chrono::milliseconds hopAliveInterval{ 250 };
constexpr std::chrono::milliseconds hopSilenceLimit{ 1'500 }; ///< Without any byte for this long the hop counts as lost.

/// Splices the text that the caller has already into the JSON object of a completion body.
void spliceDelivered(http::request_message &message, const std::string &delivered, size_t objectStart);

/// A forwarded attempt as HTTP request: the attempt in a header, the caller's body as it came.
http::request_message hopRequest(const node::forward_attempt &action, const payload &content, time_point now);

struct hop_contents {
    node::hop_attempt attempt;
    std::shared_ptr<const payload> content;
};

/// Reads what hopRequest wrote.
result<hop_contents> hopContents(const http::request_message &message, time_point now);

/// Event of an attempt as server-sent event, after one with the owner's load when there is one.
/// The load's time travels as counted from the arrival of the request, which both instances know.
std::string hopReplyText(const node::reply_on_hop &reply, time_point arrival);

/// Reads the data of the event with the load; nothing when it is another event. The time is never after now.
std::optional<placement::owner_summary> readHopLoad(
    std::string_view data, const host::pool_directory &pools, time_point arrival, time_point now);

} // namespace mustardtrail::entry
