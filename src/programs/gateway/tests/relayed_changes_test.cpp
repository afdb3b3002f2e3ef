#include "programs/gateway/relayed_changes.h"

#include "base/random_source.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;

namespace
{

// A configuration as the users' platform writes it, with a name of its own for each route.
std::string configurationOf(unsigned routes)
{
    random_source random(5);
    std::string text = R"({"version":7,"routes":[)";
    for (unsigned index = 0; index < routes; ++index) {
        const std::string name = std::to_string(random.below(1'000'000'000));
        text += index > 0 ? "," : "";
        text += R"({"name":"r-)" + name + R"(","host":"h)" + std::to_string(index % 5) + R"(.example","path_prefix":"/)" + name
            + R"(/","kind":"streaming","timeout_ms":10000,"target_latency_ms":400,"service":"s1","max_attempts":2,)"
            + R"("resumable":true,"sticky":true,"target_gap_ms":250,"priority":1})";
    }
    return text + "]}";
}

} // namespace

Test(relayed_changes, decodeToWhatWasEncoded)
{
    const std::vector<platform::store_change> sent{ { "op/config", configurationOf(3), 17, false }, { "servers/a", "", 18, true } };
    const auto received = decodeRelayedChanges(encodeRelayedChanges(sent));
    cr_assert(received.has_value());
    expectEqual(received->size(), 2U);
    expectEqual(received->front().value, sent.front().value);
    expectEqual(received->front().revision, 17U);
    cr_assert(received->back().isRemoved);
    const auto none = decodeRelayedChanges(encodeRelayedChanges({}));
    cr_assert(none && none->empty());
}

// Otherwise each instance reads each new version itself, and one that the store turns away does not get it at all.
Test(relayed_changes, configurationOfAHundredRoutesFitsIntoADatagram)
{
    const std::string bytes = encodeRelayedChanges({ { "op/config", configurationOf(150), 17, false } });
    cr_assert_lt(bytes.size(), 16'000U);
}

Test(relayed_changes, damagedBytesAreRejected)
{
    const std::string bytes = encodeRelayedChanges({ { "op/config", configurationOf(20), 17, false } });
    cr_assert_not(decodeRelayedChanges("").has_value());
    cr_assert_not(decodeRelayedChanges("no deflated data").has_value());
    for (size_t length = 1; length < bytes.size(); length += 7) {
        cr_assert_not(decodeRelayedChanges(bytes.substr(0, length)).has_value());
    }
}

Test(relayed_changes, bytesThatExpandWithoutEndAreRejected)
{
    const std::string bytes = encodeRelayedChanges({ { "k", std::string(8 * 1024 * 1024, 'x'), 1, false } });
    cr_assert_not(decodeRelayedChanges(bytes).has_value());
}
