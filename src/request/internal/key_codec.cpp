#include "request/key_codec.h"

#include "request/internal/json_reader.h"

#include <boost/json/object.hpp>

namespace mustardtrail::request
{

namespace
{

constexpr key_claim_status statuses[]
    = { key_claim_status::granted, key_claim_status::duplicate, key_claim_status::fingerprint_differs, key_claim_status::refused };

std::string_view nameOf(key_claim_status status)
{
    switch (status) {
    case key_claim_status::granted:
        return "granted";
    case key_claim_status::duplicate:
        return "duplicate";
    case key_claim_status::fingerprint_differs:
        return "fingerprint_differs";
    case key_claim_status::refused:
        return "refused";
    }
    return "refused";
}

key_claim_status readStatus(json_reader &reader)
{
    const std::string name = reader.text("status", maxIdBytes);
    for (const key_claim_status status : statuses) {
        if (nameOf(status) == name) {
            return status;
        }
    }
    reader.reject("status");
    return key_claim_status::refused;
}

template<typename message> result<message> finish(const json_reader &reader, message &&value)
{
    if (const std::optional<error> fault = reader.fault()) {
        return tl::make_unexpected(*fault);
    }
    return std::forward<message>(value);
}

} // namespace

boost::json::value toJson(const key_claim &claim)
{
    return boost::json::object{ { "request", claim.request.str() },
        { "origin", claim.origin.str() },
        { "customer", claim.customer.str() },
        { "key", claim.key },
        { "fingerprint", claim.fingerprint },
        { "remaining_ms", claim.remaining.count() } };
}

boost::json::value toJson(const key_claim_reply &reply)
{
    boost::json::object message{ { "request", reply.request.str() },
        { "home", reply.home.str() },
        { "status", nameOf(reply.status) },
        { "young", reply.incompleteHistory },
        { "verdict", toString(reply.outcome) },
        { "code", static_cast<int>(reply.code) } };
    if (reply.retryAfter) {
        message["retry_after_ms"] = reply.retryAfter->count();
    }
    return message;
}

boost::json::value toJson(const key_outcome &outcome)
{
    return boost::json::object{ { "request", outcome.request.str() },
        { "customer", outcome.customer.str() },
        { "key", outcome.key },
        { "verdict", toString(outcome.outcome) } };
}

result<key_claim> keyClaimFromJson(const boost::json::value &message)
{
    json_reader reader(message);
    key_claim claim;
    claim.request = request_id(reader.text("request", maxIdBytes));
    claim.origin = instance_id(reader.text("origin", maxIdBytes));
    claim.customer = customer_id(reader.text("customer", maxIdBytes));
    claim.key = reader.text("key", maxKeyBytes);
    claim.fingerprint = reader.number("fingerprint");
    claim.remaining = reader.duration("remaining_ms");
    return finish(reader, std::move(claim));
}

result<key_claim_reply> keyClaimReplyFromJson(const boost::json::value &message)
{
    json_reader reader(message);
    key_claim_reply reply;
    reply.request = request_id(reader.text("request", maxIdBytes));
    reply.home = instance_id(reader.text("home", maxIdBytes));
    reply.status = readStatus(reader);
    reply.incompleteHistory = reader.flag("young");
    reply.outcome = reader.outcome("verdict");
    constexpr std::uint64_t highestCode = 9999;
    const std::uint64_t code = reader.number("code");
    if (code > highestCode) {
        reader.reject("code");
    } else {
        reply.code = static_cast<error_code>(code);
    }
    if (reader.has("retry_after_ms")) {
        reply.retryAfter = reader.duration("retry_after_ms");
    }
    return finish(reader, std::move(reply));
}

result<key_outcome> keyOutcomeFromJson(const boost::json::value &message)
{
    json_reader reader(message);
    key_outcome outcome;
    outcome.request = request_id(reader.text("request", maxIdBytes));
    outcome.customer = customer_id(reader.text("customer", maxIdBytes));
    outcome.key = reader.text("key", maxKeyBytes);
    outcome.outcome = reader.outcome("verdict");
    return finish(reader, std::move(outcome));
}

} // namespace mustardtrail::request
