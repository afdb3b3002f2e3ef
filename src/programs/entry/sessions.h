#pragma once

#include "node/entry_actions.h"
#include "programs/entry/event_channel.h"
#include "programs/entry/payload.h"

#include <variant>

namespace mustardtrail::entry
{

/// What the writer to a caller has to do next.
using caller_event = std::variant<request::relay_output, request::complete_request, request::fail_request>;
using caller_channel = event_channel<caller_event>;

/// What the writer to an origin has to do next.
using hop_channel = event_channel<node::reply_on_hop>;

/// A caller's request while it runs.
struct caller_session {
    std::shared_ptr<const payload> content;
    std::shared_ptr<caller_channel> channel;
};

/// A forwarded attempt while it runs here.
struct hop_session {
    std::shared_ptr<const payload> content;
    std::shared_ptr<hop_channel> channel;
};

} // namespace mustardtrail::entry
