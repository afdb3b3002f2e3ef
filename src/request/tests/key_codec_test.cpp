#include "request/key_codec.h"

#include "testing/expect.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

using namespace mustardtrail;
using namespace mustardtrail::request;
using mustardtrail::testing::expectEqual;

namespace
{

const std::string claimText
    = R"({"request":"r1","origin":"e1","customer":"c1","key":"k","fingerprint":18446744073709551615,"remaining_ms":500})";

boost::json::value throughText(const boost::json::value &message)
{
    return boost::json::parse(boost::json::serialize(message));
}

/// Error of decoding the claim after replacing the first `from` in its text.
std::string faultWith(const std::string &from, const std::string &to)
{
    std::string text = claimText;
    text.replace(text.find(from), from.size(), to);
    const result<key_claim> read = keyClaimFromJson(boost::json::parse(text));
    return read ? "none" : toString(read.error().code) + " " + read.error().detail;
}

} // namespace

Test(key_codec, roundTripsAllMessages)
{
    expectEqual(boost::json::serialize(toJson(keyClaimFromJson(boost::json::parse(claimText)).value())), claimText);
    key_claim_reply reply;
    reply.request = request_id("r1");
    reply.home = instance_id("e1");
    reply.incompleteHistory = true;
    reply.code = error_code::memory_budget_spent;
    cr_assert(keyClaimReplyFromJson(throughText(toJson(reply))) == reply);
    reply.retryAfter = std::chrono::milliseconds(7);
    cr_assert(keyClaimReplyFromJson(throughText(toJson(reply))) == reply);
    const key_outcome outcome{ request_id("r1"), customer_id("c1"), "k", verdict::ran };
    cr_assert(keyOutcomeFromJson(throughText(toJson(outcome))) == outcome);
    const held_key held{ request_id("r1"), customer_id("c1"), "k", 7, false, verdict::ran, std::chrono::milliseconds(8) };
    const key_handover handover{ instance_id("e1"), { held, held } };
    cr_assert(keyHandoverFromJson(throughText(toJson(handover))) == handover);
    const key_handover tooMany{ instance_id("e1"), std::vector<held_key>(maxKeysPerHandover + 1, held) };
    cr_assert_not(keyHandoverFromJson(toJson(tooMany)).has_value());
}

Test(key_codec, rejectsMissingUnknownAndInvalidMembers)
{
    expectEqual(faultWith("\"key\":\"k\",", ""), "MT-6003 member=key");
    expectEqual(faultWith("}", ",\"more\":1}"), "MT-6003 member=unknown");
    expectEqual(faultWith("\"k\"", "\"\""), "MT-6003 member=key");
    expectEqual(faultWith("\"k\"", "\"" + std::string(513, 'k') + "\""), "MT-6003 member=key");
    expectEqual(faultWith("500", "-1"), "MT-6003 member=remaining_ms");
    expectEqual(faultWith("500", "86400001"), "MT-6003 member=remaining_ms");
    expectEqual(faultWith("18446744073709551615", "0.5"), "MT-6003 member=fingerprint");
    cr_assert_not(keyClaimFromJson(boost::json::parse("[]")).has_value());
    cr_assert_not(keyOutcomeFromJson(boost::json::parse(claimText)).has_value());
}
