#include "group/reservation_codec.h"

#include "testing/expect.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

using namespace mustardtrail;
using namespace mustardtrail::group;

namespace
{

const group_key key{ group_id("a1"), 3 };
const backend_server_id engine("g1");

} // namespace

Test(reservation_codec, readsBackWhatItWrites)
{
    const reserve_request request{ key, engine, 1200, std::chrono::milliseconds(6000), 4 };
    cr_assert(*reserveRequestFromJson(toJson(request)) == request);
    const release_request release{ key, engine };
    cr_assert(*releaseRequestFromJson(toJson(release)) == release);
    const error failure{ error_code::group_memory_busy, verdict::not_run, "free_tokens=1", std::chrono::milliseconds(500) };
    for (const reserve_reply &reply :
        { reserve_reply{ key, engine, 4, ~std::uint64_t{ 0 }, std::nullopt }, { key, engine, 4, 0, failure } }) {
        const auto text = boost::json::serialize(toJson(reply));
        const auto read = reserveReplyFromJson(boost::json::parse(text));
        cr_assert(read.has_value());
        mustardtrail::testing::expectEqual(boost::json::serialize(toJson(*read)), text);
    }
}

Test(reservation_codec, refusesWhatIsNotAMessage)
{
    for (const char *text : {
             "[]",
             "{}",
             R"({"group":"a","generation":1,"backend":"g","tokens":0,"lease_ms":1,"sequence":1})",
             R"({"group":"a","generation":-1,"backend":"g","tokens":1,"lease_ms":1,"sequence":1})",
             R"({"group":"a","generation":1.5,"backend":"g","tokens":1,"lease_ms":1,"sequence":1})",
             R"({"group":"","generation":1,"backend":"g","tokens":1,"lease_ms":1,"sequence":1})",
             R"({"group":"a","generation":1,"backend":"g","tokens":1,"lease_ms":999999999,"sequence":1})",
             R"({"group":"a","generation":1,"backend":"g","tokens":1,"lease_ms":1})",
             R"({"group":"a","generation":1,"backend":"g","tokens":1,"lease_ms":1,"sequence":1,"more":1})",
         }) {
        const auto read = reserveRequestFromJson(boost::json::parse(text));
        cr_assert_not(read.has_value(), "%s", text);
        cr_assert(read.error().code == error_code::peer_message_invalid);
        cr_assert(read.error().outcome == verdict::not_run);
    }
    cr_assert_not(
        reserveReplyFromJson(boost::json::parse(R"({"group":"a","generation":1,"backend":"g","sequence":1,"fencing":1,"code":"X"})"))
            .has_value());
}
