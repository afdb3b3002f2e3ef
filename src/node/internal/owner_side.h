#pragma once

#include "group/memory_reconciler.h"
#include "group/reservation_table.h"
#include "node/entry_actions.h"
#include "node/entry_events.h"
#include "node/entry_options.h"
#include "node/internal/attempt_event.h"
#include "placement/owner_scheduler.h"
#include "request/backend_attempt.h"

#include <boost/json/object.hpp>

#include <functional>
#include <map>
#include <set>
#include <unordered_map>

namespace mustardtrail::node
{

/// Work of this instance as owner of backend servers: admission, connections, load reports, memory.
class owner_side
{
public:
    /// Takes the events of attempts to the origin, which may be this instance.
    using to_origin = std::function<void(const attempt_event &, bool isLocal, time_point now)>;

    owner_side(const entry_options &options, to_origin toOrigin);

    void onView(std::shared_ptr<const membership::fleet_view> view, time_point now, entry_actions &out);
    void admit(const hop_attempt &attempt, bool isLocal, time_point now, entry_actions &out);
    void abandon(const attempt_id &attempt, time_point now, entry_actions &out);
    void onBackend(const backend_reported &event, time_point now, entry_actions &out);
    void onEngineRead(const engine_read &event, time_point now, entry_actions &out);
    void onTick(time_point now, entry_actions &out);
    std::optional<time_point> nextWake(time_point now) const;

    group::reserve_reply reserve(const group::reserve_request &request, time_point now);
    void release(const group::release_request &request, time_point now, entry_actions &out);
    /// Rates of the slowest engine of the model that this instance owns; nothing before a report.
    struct engine_rates {
        double prefillTokensPerSecond = 0;
        double decodeTokensPerSecond = 0;
    };
    std::optional<engine_rates> ratesFor(const model_id &model) const;
    /// Free KV memory of an engine that this instance owns, as last reported.
    std::optional<token_count> freeTokens(const backend_server_id &backend) const;

    /// Load of this owner in the pool of the work.
    placement::owner_summary loadFor(const placement::work_item &work, time_point now) const;
    size_t runningAttempts() const;
    boost::json::object dump(time_point now) const;

private:
    struct owned_attempt {
        hop_attempt hop;
        bool isLocal = false;
        bool sawOutput = false;
        bool saidLoad = false; ///< The origin got the load of the pool with an event of this attempt.
        placement::dispatch_attempt dispatch;
        std::unique_ptr<request::backend_attempt> machine; ///< Null while queued.
        std::optional<time_point> wake; ///< Entry in m_wakes.
    };
    struct engine_poll {
        time_point next{};
        int count = 0;
        std::uint64_t eventsFrom = 0;
        engine_rates rates; ///< As last reported.
        bool groupsAreDue = false; ///< The next read includes the groups.
    };

    void carryOut(const placement::owner_action_list &actions, time_point now, entry_actions &out);
    void carryOut(const placement::dispatch_attempt &action, time_point now, entry_actions &out);
    void carryOut(const placement::refuse_attempt &action, time_point now, entry_actions &out);
    void carryOut(const placement::cancel_at_backend &action, time_point now, entry_actions &out);
    void carryOut(const attempt_id &attempt, const request::backend_actions &actions, time_point now, entry_actions &out);
    void carryOut(const group::reconcile_actions &actions, entry_actions &out);

    void startMachine(owned_attempt &owned, time_point now, entry_actions &out);
    void admitGroup(const hop_attempt &attempt, bool isLocal, time_point now, entry_actions &out);
    void reply(owned_attempt &owned, const attempt_event &event, time_point now, entry_actions &out);
    void noteEvent(owned_attempt &owned, const attempt_event &event, time_point now, entry_actions &out);
    void settle(const attempt_id &attempt);
    void forget(const attempt_id &attempt);
    void pollEngines(time_point now, entry_actions &out);
    open_backend openOf(const owned_attempt &owned, int connection) const;
    endpoint addressOf(const backend_server_id &backend) const;
    bool isEngine(const backend_server_id &backend) const;
    bool owns(const backend_server_id &backend) const;
    result<group::engine_memory> engineMemory(const backend_server_id &backend, const group::group_key &key) const;
    group::known_streams knownStreams(const backend_server_id &backend) const;

    entry_options m_options;
    to_origin m_toOrigin;
    std::shared_ptr<const membership::fleet_view> m_view;
    placement::owner_scheduler m_scheduler;
    group::reservation_table m_reservations;
    group::memory_reconciler m_reconciler;
    std::unordered_map<attempt_id, owned_attempt> m_attempts;
    std::set<std::pair<time_point, attempt_id>> m_wakes; ///< When the attempts have work next.
    std::map<backend_server_id, engine_poll> m_polls;
    time_point m_nextSummary{};
    time_point m_now{}; ///< Time of the reservation that is being decided.
};

} // namespace mustardtrail::node
