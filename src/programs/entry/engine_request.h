#pragma once

#include "http/request_message.h"
#include "node/entry_actions.h"
#include "programs/entry/payload.h"

namespace mustardtrail::entry
{

/// An attempt as HTTP request to its engine. The completion of a group names the group in place of the prompt.
http::request_message engineRequest(const node::open_backend &action, const payload &content);

} // namespace mustardtrail::entry
