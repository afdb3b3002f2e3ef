#include "request/key_codec.h"

#include "testing/expect.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

using namespace mustardtrail;
using namespace mustardtrail::request;
using mustardtrail::testing::expectEqual;

namespace
{

boost::json::value throughText(const boost::json::value &message)
{
    return boost::json::parse(boost::json::serialize(message));
}

key_claim makeClaim()
{
    return { request_id("r1"), instance_id("e1"), customer_id("c1"), "k", 0xffffffffffffffffULL, std::chrono::milliseconds(500) };
}

} // namespace

Test(key_codec, readsBackWhatItWrites)
{
    cr_assert(keyClaimFromJson(throughText(toJson(makeClaim()))) == makeClaim());
    key_claim_reply reply{ request_id("r1"),
        instance_id("e1"),
        key_claim_status::refused,
        true,
        verdict::not_run,
        error_code::memory_budget_spent,
        std::chrono::milliseconds(7) };
    cr_assert(keyClaimReplyFromJson(throughText(toJson(reply))) == reply);
    reply.retryAfter.reset();
    cr_assert(keyClaimReplyFromJson(throughText(toJson(reply))) == reply);
    const key_outcome outcome{ request_id("r1"), customer_id("c1"), "k", verdict::ran };
    cr_assert(keyOutcomeFromJson(throughText(toJson(outcome))) == outcome);
}

Test(key_codec, refusesWhatIsNotExactlyTheMessage)
{
    const auto faultOf = [](auto change) {
        boost::json::value message = toJson(makeClaim());
        change(message.as_object());
        const result<key_claim> read = keyClaimFromJson(throughText(message));
        return read ? "none" : toString(read.error().code) + " " + read.error().detail;
    };
    using object = boost::json::object;
    expectEqual(faultOf([](object &message) {
        message.erase("key");
    }),
        "MT-6003 member=key");
    expectEqual(faultOf([](object &message) {
        message["more"] = 1;
    }),
        "MT-6003 member=unknown");
    expectEqual(faultOf([](object &message) {
        message["key"] = "";
    }),
        "MT-6003 member=key");
    expectEqual(faultOf([](object &message) {
        message["key"] = std::string(513, 'k');
    }),
        "MT-6003 member=key");
    expectEqual(faultOf([](object &message) {
        message["remaining_ms"] = -1;
    }),
        "MT-6003 member=remaining_ms");
    expectEqual(faultOf([](object &message) {
        message["remaining_ms"] = 86'400'001;
    }),
        "MT-6003 member=remaining_ms");
    expectEqual(faultOf([](object &message) {
        message["fingerprint"] = 0.5;
    }),
        "MT-6003 member=fingerprint");
    cr_assert_not(keyClaimFromJson(boost::json::array{}).has_value());
    cr_assert_not(keyOutcomeFromJson(toJson(makeClaim())).has_value());
}
