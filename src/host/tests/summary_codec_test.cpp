#include "host/summary_codec.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::host;
using namespace std::chrono_literals;

namespace
{

placement::pool_summary makePool(placement::pool_kind kind, const char *name)
{
    placement::pool_summary pool;
    pool.pool = { kind, name };
    pool.freeTokens = 1'000'000 / 64 * 64;
    pool.queuedPrefillTokens = 40'000'000 / 64 * 64;
    pool.prefillTokensPerSecond = 160'000;
    pool.freeRequests = 400;
    pool.shortFirstToken = 268ms;
    pool.longFirstToken = placement::summaryUnreachable;
    return pool;
}

placement::owner_summary makeSummary()
{
    placement::owner_summary summary;
    summary.owner = instance_id("e2");
    summary.pools = { makePool(placement::pool_kind::model, "a-model-with-quite-a-long-name-70b-instruct"),
        makePool(placement::pool_kind::service, "counter") };
    return summary;
}

pool_directory makeDirectory()
{
    auto configuration = std::make_shared<config::configuration>();
    configuration->models.insert(model_id("a-model-with-quite-a-long-name-70b-instruct"));
    config::backend_server server;
    server.id = backend_server_id("s1");
    server.kind = config::backend_server_kind::service;
    server.service = service_id("counter");
    configuration->backendServers.emplace(server.id, server);
    pool_directory directory;
    directory.setConfiguration(configuration);
    return directory;
}

} // namespace

Test(summary_codec, readsBackWhatItWrites)
{
    const placement::owner_summary summary = makeSummary();
    const auto read = decodeSummary(summary.owner, encodeSummary(summary), makeDirectory(), time_point(5s));
    cr_assert(read.owner == summary.owner);
    cr_assert(read.takenAt == time_point(5s));
    cr_assert(read.pools == summary.pools);
}

Test(summary_codec, encodedPoolSizeIsBoundedForAnyName)
{
    for (const std::string &text : encodeSummary(makeSummary())) {
        cr_assert(text.size() <= maxEncodedPoolBytes);
    }
}

Test(summary_codec, skipsMalformedTextsAndUnlistedPools)
{
    std::vector<std::string> texts = encodeSummary(makeSummary());
    texts[0].pop_back();
    texts.push_back(texts[1] + "0");
    texts.emplace_back("");
    texts.emplace_back("!");
    const auto read = decodeSummary(instance_id("e2"), texts, makeDirectory(), time_point{});
    testing::expectEqual(read.pools.size(), 1U);
    cr_assert(decodeSummary(instance_id("e2"), texts, pool_directory(), time_point{}).pools.empty());
}
