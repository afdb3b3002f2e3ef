#include "config/update_codec.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

namespace
{

config_update sampleUpdate()
{
    config_update update{ 9, 4, false, {}, {}, std::chrono::milliseconds(1500) };
    update.entries.push_back({ "customers", 7, R"([{"id":"a"}])" });
    update.entries.push_back({ "instances", 8, std::nullopt });
    update.patches.push_back({ "backend_servers/dc1", 9, 0xfedcba9876543210U, { R"({"id":"g1"})" }, { "g2" } });
    return update;
}

void expectRefused(const std::string &text, error_code code)
{
    const decoded_update decoded = decodeUpdate(text);
    cr_assert_not(decoded.has_value(), "%s", text.c_str());
    cr_assert(decoded.error().at(0).code == code, "%s: %s", text.c_str(), toString(decoded.error()[0].code).c_str());
}

} // namespace

Test(update_codec, readsBackWhatItWrote)
{
    const decoded_update decoded = decodeUpdate(encodeUpdate(sampleUpdate()));
    cr_assert(decoded.has_value());
    cr_assert(*decoded == sampleUpdate());
}

Test(update_codec, refusesEveryCutText)
{
    const std::string whole = encodeUpdate(sampleUpdate());
    for (size_t length = 0; length < whole.size(); ++length) {
        cr_assert_not(decodeUpdate(whole.substr(0, length)).has_value());
        cr_assert_not(decodeServiceReply(whole.substr(0, length), 0).has_value());
    }
}

Test(update_codec, refusesWhatIsNoUpdate)
{
    expectRefused("[]", error_code::config_wrong_type);
    expectRefused("{}", error_code::config_missing_key);
    expectRefused(R"({"revision":-1,"base":0,"complete":true,"entries":[],"patches":[]})", error_code::config_out_of_range);
    expectRefused(R"({"revision":1.5,"base":0,"complete":true,"entries":[],"patches":[]})", error_code::config_wrong_type);
    expectRefused(R"({"revision":1,"revision":1,"base":0,"complete":true,"entries":[],"patches":[]})", error_code::config_duplicate_key);
    expectRefused(R"({"revision":1,"base":0,"complete":true,"entries":[],"patches":[],"leader":"e1"})", error_code::config_unknown_key);
    expectRefused(
        R"({"revision":1,"base":0,"complete":true,"entries":[{"key":"a","revision":1}],"patches":[]})", error_code::config_missing_key);
    expectRefused(
        R"({"revision":1,"base":0,"complete":true,"entries":[],"patches":[{"key":"a","revision":1,"digest":"xyz","changed":[],"removed":[]}]})",
        error_code::config_wrong_type);
}

Test(update_codec, readsTheServicesReply)
{
    const decoded_update reply
        = decodeServiceReply(R"({"revision":3,"entries":[{"key":"models","revision":3,"value":[{"id":"pay"}]}]})", 2);
    cr_assert(reply.has_value());
    testing::expectEqual(reply->base, 2);
    cr_assert_not(reply->complete);
    testing::expectEqual(*reply->entries[0].value, R"([{"id":"pay"}])");
    cr_assert(decodeServiceReply(R"({"revision":3,"entries":[]})", 0)->complete);
}
