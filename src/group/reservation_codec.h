#pragma once

#include "base/error.h"
#include "group/reservation_messages.h"

#include <boost/json/value.hpp>

namespace mustardtrail::group
{

boost::json::value toJson(const reserve_request &message);
boost::json::value toJson(const reserve_reply &message);
boost::json::value toJson(const release_request &message);

/// Strict readers: unknown, missing, mistyped or out-of-range members give peer_message_invalid.
result<reserve_request> reserveRequestFromJson(const boost::json::value &document);
result<reserve_reply> reserveReplyFromJson(const boost::json::value &document);
result<release_request> releaseRequestFromJson(const boost::json::value &document);

} // namespace mustardtrail::group
