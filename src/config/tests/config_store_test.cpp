#include "config/config_store.h"

#include "config/update_codec.h"
#include "tests/sample_configuration.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

namespace
{

constexpr time_point start{ std::chrono::hours(1) };

std::string outcome(const apply_result &result)
{
    return std::string(toString(result.outcome));
}

config_store filledStore(std::int64_t revision = 1)
{
    config_store store;
    testing::expectEqual(outcome(store.apply(completeUpdate(sampleValues(), revision), update_source::service, start)), "accepted");
    return store;
}

std::string drainedDc1()
{
    return replaced(sampleValues()["data_centres"], "\"in_service\":true", "\"in_service\":false");
}

config_update throughText(const config_update &update)
{
    const decoded_update decoded = decodeUpdate(encodeUpdate(update));
    cr_assert(decoded.has_value());
    return *decoded;
}

} // namespace

Test(config_store, putsAValidConfigurationInForce)
{
    const config_store store = filledStore(7);
    testing::expectEqual(store.revision(), 7);
    testing::expectEqual(store.inForce()->backendServers.size(), 4U);
    testing::expectEqual(store.inForce()->classes.at(class_id("review")).firstTokenTarget.count(), 120000);
    testing::expectEqual(store.keyRevision("classes"), 7);
}

Test(config_store, neverGoesBackWhoeverSaysSo)
{
    config_store store = filledStore(7);
    for (const update_source source : { update_source::service, update_source::peer }) {
        testing::expectEqual(outcome(store.apply(completeUpdate(sampleValues(), 6), source, start)), "older");
    }
    testing::expectEqual(store.revision(), 7);
}

Test(config_store, appliesADeltaOfOneKey)
{
    config_store store = filledStore();
    testing::expectEqual(
        outcome(store.apply(deltaUpdate(1, { { "data_centres", 2, drainedDc1() } }), update_source::service, start)), "accepted");
    cr_assert_not(store.inForce()->dataCentres.at(data_centre_id("dc1")).inService);
    testing::expectEqual(store.keyRevision("classes"), 1);
}

Test(config_store, asksForEverythingWhenADeltaDoesNotFollow)
{
    config_store store = filledStore();
    testing::expectEqual(
        outcome(store.apply(deltaUpdate(3, { { "data_centres", 4, drainedDc1() } }), update_source::peer, start)), "needs_full");
    testing::expectEqual(store.revision(), 1);
}

Test(config_store, sendsPeersOnlyTheElementsThatChanged)
{
    config_store sender = filledStore();
    config_store receiver = filledStore();
    sender.apply(deltaUpdate(1, { { "data_centres", 2, drainedDc1() } }), update_source::service, start);
    const config_update delta = throughText(sender.deltaSince(1, start));
    testing::expectEqual(delta.patches.size(), 1U);
    testing::expectEqual(delta.patches[0].changed.size(), 1U);
    testing::expectEqual(outcome(receiver.apply(delta, update_source::peer, start)), "accepted");
    cr_assert(*receiver.inForce() == *sender.inForce());
    testing::expectEqual(receiver.digest(), sender.digest());
}
