#pragma once

#include "group/engine_holdings.h"
#include "group/reconcile_actions.h"
#include "membership/fleet_view.h"

#include <functional>
#include <map>
#include <optional>

#include <boost/json/value.hpp>

namespace mustardtrail::group
{

/// Streams that this instance counts at an engine, with the time each was sent.
using known_streams = std::map<attempt_id, time_point>;
/// True while a reservation of this instance covers the group at the engine.
using known_group_hook = std::function<bool(const backend_server_id &, const engine_group_id &)>;

struct reconcile_options {
    std::chrono::milliseconds orphanGrace{ 10000 }; ///< Above report lag, renewal interval and two hops together.
    std::chrono::milliseconds lostGrace{ 2000 }; ///< Between a send and the report that must show it.
    bool requireConfirmedView = true; ///< Tests switch these off to show what each is for.
    bool respectNewerOwner = true;
};

/// Memory of one engine by what is known of it.
struct engine_accounting {
    token_count memoryTokens = 0;
    token_count usedTokens = 0; ///< As reported.
    token_count knownTokens = 0; ///< Streams and groups that this instance knows.
    token_count unknownTokens = 0; ///< Listed, but unknown here.
    token_count unlistedTokens = 0; ///< Used, but in no list of the engine.
};

/// Compares what engines hold with what their owner knows; finds orphans and losses.
class memory_reconciler
{
public:
    memory_reconciler(reconcile_options options, known_group_hook knownGroup);

    reconcile_actions onHoldings(
        const engine_holdings &holdings, const known_streams &streams, const membership::fleet_view &view, time_point now);
    /// The group ended here: what the engine listed for it no longer counts, until it lists it again.
    void released(const backend_server_id &backend, const engine_group_id &group);
    /// The engine is no longer this instance's.
    void forget(const backend_server_id &backend);

    std::optional<engine_accounting> accounting(const backend_server_id &backend) const;
    /// Free memory apart from known groups and from what the engine holds for this one; for reservation_table.
    std::optional<token_count> freeApartFrom(const backend_server_id &backend, const engine_group_id &group) const;

    boost::json::value dump(time_point now) const;

private:
    struct sighting {
        time_point since{}; ///< Unknown without a break from here on.
        std::chrono::milliseconds leaseLeft{ 0 };
        token_count heldTokens = 0;
    };
    struct engine_record {
        std::uint64_t incarnation = 0;
        time_point takenAt{}; ///< Of the last report.
        engine_accounting accounting;
        token_count listedGroupTokens = 0;
        std::map<attempt_id, sighting> streams;
        std::map<engine_group_id, sighting> groups;
    };
    struct engine_pass; ///< One comparison.

    void noteStreams(engine_pass &pass) const;
    void noteGroups(engine_pass &pass) const;
    void noteLosses(engine_pass &pass) const;
    void cancelStreams(engine_pass &pass) const;
    void releaseGroups(engine_pass &pass) const;
    bool mayAct(const engine_pass &pass) const;

    reconcile_options m_options;
    known_group_hook m_knownGroup;
    std::map<backend_server_id, engine_record> m_engines;
};

} // namespace mustardtrail::group
