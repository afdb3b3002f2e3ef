#pragma once

#include "base/error.h"
#include "request/key_claim.h"
#include "request/key_claim_reply.h"
#include "request/key_handover.h"
#include "request/key_outcome.h"

#include <boost/json/value.hpp>

namespace mustardtrail::request
{

/// Longest accepted idempotency key, in bytes.
constexpr std::size_t maxKeyBytes = 512;

boost::json::value toJson(const key_claim &claim);
boost::json::value toJson(const key_claim_reply &reply);
boost::json::value toJson(const key_outcome &outcome);
boost::json::value toJson(const key_handover &handover);

/// These reject unknown, missing and mistyped members with peer_message_invalid.
result<key_claim> keyClaimFromJson(const boost::json::value &message);
result<key_claim_reply> keyClaimReplyFromJson(const boost::json::value &message);
result<key_outcome> keyOutcomeFromJson(const boost::json::value &message);
result<key_handover> keyHandoverFromJson(const boost::json::value &message);

} // namespace mustardtrail::request
