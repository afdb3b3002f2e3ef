#include "config/config_store.h"

#include "config/internal/concat.h"
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

Test(config_store, refusesAnInvalidRevisionWholeAndRemembersIt)
{
    config_store store = filledStore();
    const config_update bad = deltaUpdate(1, { { "models", 2, "[]" }, { "customers", 2, R"([{"id":"b"}])" } });
    const apply_result first = store.apply(bad, update_source::service, start);
    testing::expectEqual(outcome(first), "invalid");
    testing::expectEqual(first.problems.size(), 3U);
    cr_assert(store.inForce()->customers.contains(customer_id("hotel-1")));
    const apply_result second = store.apply(bad, update_source::peer, start);
    cr_assert(second.refusedBefore && second.problems == first.problems && store.refusal() == first.problems);
    testing::expectEqual(store.refusedRevision(), 2);
}

Test(config_store, watchesPastARefusedRevisionUntilItIsTimeToReadItAgain)
{
    config_store store = filledStore();
    store.apply(deltaUpdate(1, { { "models", 2, "[]" } }), update_source::service, start);
    testing::expectEqual(store.watchAfter(start), 2);
    testing::expectEqual(outcome(store.apply({ 2, 2, false, {}, {}, {} }, update_source::service, start)), "invalid");
    testing::expectEqual(store.watchAfter(start + config_store::refusalRetry), 1);
    const apply_result gap = store.apply(deltaUpdate(2, { { "models", 3, R"([{"id":"pay"}])" } }), update_source::service, start);
    testing::expectEqual(outcome(gap), "needs_full");
    testing::expectEqual(gap.askAfter, 1);
    const config_update mended = deltaUpdate(1, { { "models", 3, R"([{"id":"pay"},{"id":"other"}])" } });
    testing::expectEqual(outcome(store.apply(mended, update_source::service, start)), "accepted");
    testing::expectEqual(store.watchAfter(start), 3);
    cr_assert(store.refusal().empty());
}

Test(config_store, takesARevisionThatCameDamagedFirst)
{
    config_store store = filledStore();
    const config_entry whole{ "data_centres", 2, drainedDc1() };
    const config_entry half{ "data_centres", 2, R"([{"id":"dc1","region":"r1","in_service":false}])" };
    testing::expectEqual(outcome(store.apply(deltaUpdate(1, { half }), update_source::service, start)), "invalid");
    testing::expectEqual(outcome(store.apply(deltaUpdate(1, { whole }), update_source::service, start)), "accepted");
}

Test(config_store, refusesAReplyThatIsCutShort)
{
    config_store store = filledStore();
    config_update cut = deltaUpdate(1, { { "data_centres", 2, drainedDc1() } });
    cut.revision = 3;
    const apply_result result = store.apply(cut, update_source::service, start);
    testing::expectEqual(outcome(result), "invalid");
    cr_assert(result.problems.at(0).code == error_code::config_incomplete);
    sample_values values = sampleValues();
    values.erase("backend_servers/dc2");
    cr_assert(store.apply(completeUpdate(values, 2), update_source::service, start).problems.at(0).code == error_code::config_incomplete);
    testing::expectEqual(store.watchAfter(start), 1);
    testing::expectEqual(store.inForce()->backendServers.size(), 4U);
}

Test(config_store, refusesKeysWhoseRevisionWentBack)
{
    config_store store = filledStore(5);
    config_update update = completeUpdate(sampleValues(), 6);
    update.entries[0].revision = 4;
    const apply_result result = store.apply(update, update_source::service, start);
    cr_assert(result.problems.at(0).code == error_code::config_revision_went_back);
    update.entries[0].revision = 7;
    cr_assert(store.apply(update, update_source::service, start).problems.at(0).code == error_code::config_out_of_range);
}

Test(config_store, keepsItsContentWhenTheSameRevisionSaysOtherwise)
{
    config_store store = filledStore();
    sample_values other = sampleValues();
    testing::expectEqual(outcome(store.apply(completeUpdate(other), update_source::peer, start)), "unchanged");
    other["data_centres"] = drainedDc1();
    testing::expectEqual(outcome(store.apply(completeUpdate(other), update_source::service, start)), "conflicting");
    cr_assert(store.inForce()->dataCentres.at(data_centre_id("dc1")).inService);
}

Test(config_store, takesTheKeysThatItsFirstReadLacked)
{
    sample_values half = sampleValues();
    half.erase("backend_servers/dc2");
    config_store cutShort;
    config_store whole = filledStore();
    testing::expectEqual(outcome(cutShort.apply(completeUpdate(half), update_source::service, start)), "accepted");
    testing::expectEqual(outcome(whole.apply(cutShort.deltaSince(0, start), update_source::peer, start)), "unchanged");
    testing::expectEqual(whole.inForce()->backendServers.size(), 4U);
    testing::expectEqual(outcome(cutShort.apply(whole.deltaSince(0, start), update_source::peer, start)), "accepted");
    testing::expectEqual(cutShort.digest(), whole.digest());
    testing::expectEqual(cutShort.revision(), 1);
}

Test(config_store, everythingRepairsAKeyThatDiffersAtOneRevision)
{
    config_store sender = filledStore();
    config_store receiver;
    sample_values other = sampleValues();
    other["customers"] = R"([{"id":"hotel-2"}])";
    receiver.apply(completeUpdate(other), update_source::service, start);
    sender.apply(deltaUpdate(1, { { "data_centres", 2, drainedDc1() } }), update_source::service, start);
    testing::expectEqual(outcome(receiver.apply(sender.deltaSince(0, start), update_source::peer, start)), "accepted");
    testing::expectEqual(receiver.digest(), sender.digest());
    cr_assert(receiver.inForce()->customers.contains(customer_id("hotel-1")));
}

Test(config_store, deletesAKeyAndTellsPeers)
{
    config_store sender = filledStore();
    config_store receiver = filledStore();
    sender.apply(deltaUpdate(1, { { "backend_servers/dc2", 2, std::nullopt } }), update_source::service, start);
    testing::expectEqual(sender.inForce()->backendServers.size(), 3U);
    testing::expectEqual(outcome(receiver.apply(throughText(sender.deltaSince(1, start)), update_source::peer, start)), "accepted");
    testing::expectEqual(receiver.inForce()->backendServers.size(), 3U);
    config_store fresh;
    testing::expectEqual(outcome(fresh.apply(throughText(sender.deltaSince(0, start)), update_source::peer, start)), "accepted");
    testing::expectEqual(fresh.digest(), sender.digest());
    const config_update again = deltaUpdate(2, { { "backend_servers/dc2", 3, sampleValues()["backend_servers/dc2"] } });
    testing::expectEqual(outcome(sender.apply(again, update_source::service, start)), "accepted");
    testing::expectEqual(outcome(fresh.apply(throughText(sender.deltaSince(2, start)), update_source::peer, start)), "accepted");
    testing::expectEqual(fresh.digest(), sender.digest());
    const config_update required = deltaUpdate(3, { { "classes", 4, std::nullopt } });
    cr_assert(sender.apply(required, update_source::service, start).problems.at(0).code == error_code::config_missing_key);
}

Test(config_store, movesABackendServerBetweenDataCentresInOneRevision)
{
    config_store store = filledStore();
    const std::string both = concat({ "[", engineText("g3", 9003), ",", engineText("g2", 9002), "]" });
    const std::string rest = concat({ "[", engineText("g1", 9001), "]" });
    const config_update update = deltaUpdate(1, { { "backend_servers/dc2", 2, both }, { "backend_servers/dc1", 2, rest } });
    testing::expectEqual(outcome(store.apply(update, update_source::service, start)), "accepted");
    testing::expectEqual(store.inForce()->backendServers.at(backend_server_id("g2")).dataCentre, data_centre_id("dc2"));
}

Test(config_store, asksForEverythingWhenAPatchGivesOtherContent)
{
    config_store sender = filledStore();
    config_store receiver;
    sample_values other = sampleValues();
    other["data_centres"] = replaced(other["data_centres"], "r1", "r2");
    receiver.apply(completeUpdate(other), update_source::service, start);
    const std::string region = replaced(sampleValues()["data_centres"], "\"dc2\",\"region\":\"r1\"", "\"dc2\",\"region\":\"r3\"");
    sender.apply(deltaUpdate(1, { { "data_centres", 2, region } }), update_source::service, start);
    const apply_result result = receiver.apply(sender.deltaSince(1, start), update_source::peer, start);
    testing::expectEqual(outcome(result), "needs_full");
    testing::expectEqual(result.askAfter, 0);
    testing::expectEqual(outcome(receiver.apply(sender.deltaSince(0, start), update_source::peer, start)), "accepted");
    testing::expectEqual(receiver.digest(), sender.digest());
}

Test(config_store, givesItsAgeAndTakesOverThatOfAPeer)
{
    config_store reader;
    cr_assert_not(reader.age(start).has_value());
    reader.apply(completeUpdate(sampleValues(), 2), update_source::service, start);
    const time_point later = start + std::chrono::seconds(10);
    testing::expectEqual(reader.age(later)->count(), 10000);
    testing::expectEqual(outcome(reader.apply(completeUpdate(sampleValues(), 1), update_source::service, later)), "older");
    testing::expectEqual(reader.age(later)->count(), 10000);
    config_store follower;
    const time_point otherClock{ std::chrono::hours(99) };
    follower.apply(throughText(reader.deltaSince(0, later)), update_source::peer, otherClock);
    testing::expectEqual(follower.age(otherClock)->count(), 10000);
    reader.apply({ 2, 2, false, {}, {}, {} }, update_source::service, later);
    testing::expectEqual(reader.age(later)->count(), 0);
}
