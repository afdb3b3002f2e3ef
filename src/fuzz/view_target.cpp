#include "base/json_access.h"
#include "fuzz/fuzz_target.h"
#include "host/summary_codec.h"
#include "host/view_codec.h"

#include <boost/json/serialize.hpp>

namespace mustardtrail::fuzz
{

namespace
{

constexpr time_point askedAt{ std::chrono::hours(100) };
constexpr time_point receivedAt = askedAt + std::chrono::seconds(1);

void checkView(const membership::fleet_view &view)
{
    require(!view.self.empty() && view.confirmedAt <= askedAt);
    for (const auto &[id, peer] : view.peers) {
        require(!id.empty() && peer.id == id);
    }
    for (const auto &[id, assignment] : view.backends) {
        require(!id.empty() && assignment.ownedSince <= receivedAt);
    }
    const auto again = host::viewFromJson(host::viewToJson(view, receivedAt), receivedAt, receivedAt);
    require(again && host::sameContent(*again, view) && again->confirmedAt == view.confirmedAt);
}

/// Knows one pool, the model "pay".
host::pool_directory onePool()
{
    auto configuration = std::make_shared<config::configuration>();
    configuration->models.insert(model_id("pay"));
    host::pool_directory pools;
    pools.setConfiguration(std::move(configuration));
    return pools;
}

void readSummary(std::string_view bytes)
{
    static const host::pool_directory pools = onePool();
    const instance_id owner("e1");
    const auto summary = host::decodeSummary(owner, { std::string(bytes) }, pools, askedAt);
    for (const placement::pool_summary &pool : summary.pools) {
        require(pool.freeTokens >= 0 && pool.queuedPrefillTokens >= 0 && pool.prefillTokensPerSecond >= 0 && pool.freeRequests >= 0);
        require(pool.shortFirstToken.count() >= 0 && pool.longFirstToken.count() >= 0);
    }
    require(host::decodeSummary(owner, host::encodeSummary(summary), pools, askedAt).pools == summary.pools);
}

} // namespace

/// The bytes are a view, and also the load of one pool.
std::vector<error_code> readAnyBytes(std::string_view bytes)
{
    readSummary(bytes);
    const auto view = host::viewFromJson(json_access::objectFromText(bytes), askedAt, receivedAt);
    if (!view) {
        return { view.error().code };
    }
    checkView(*view);
    return {};
}

} // namespace mustardtrail::fuzz
