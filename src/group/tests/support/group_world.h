#pragma once

#include "base/random_source.h"
#include "group/group_coordinator.h"
#include "group/memory_reconciler.h"
#include "group/reservation_table.h"
#include "group/tests/support/fake_engine.h"
#include "group/tests/support/fleet.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

namespace mustardtrail::group::testing
{

constexpr token_count prefillTokensPerSecond = 1000; ///< Of every engine.
constexpr std::chrono::milliseconds decodeTime{ 1000 };
constexpr std::chrono::milliseconds confirmInterval{ 250 }; ///< Between two confirmations of a view.

struct world_options {
    std::uint64_t seed = 1;
    int entries = 2;
    int engines = 3;
    token_count memoryTokens = 1000;
    std::chrono::milliseconds hop{ 1 }; ///< Least time of a message; the most is `spread` above it.
    std::chrono::milliseconds spread{ 0 };
    int lossPercent = 0;
    int duplicatePercent = 0;
    int staleFreePercent = 0; ///< An entry takes an engine for empty.
    group_options group;
    reservation_options reservations;
    reconcile_options reconcile;
    bool reconciles = true;
    bool checksBeforeSend = true;
};

/// Entry instances, owners, engines and the network between them, on one clock; checks itself as it runs.
class group_world
{
public:
    explicit group_world(world_options options);

    void submit(const std::string &attempt,
        const std::string &entry,
        token_count prompt,
        std::chrono::milliseconds deadline,
        bool repeatable = true);
    void cancel(const std::string &attempt);
    void killEntry(const std::string &entry);
    void pauseEntry(const std::string &entry, std::chrono::milliseconds span);
    void loseView(const std::string &entry, std::chrono::milliseconds span);
    void restartEngine(const std::string &engine);
    void moveOwner(const std::string &engine, const std::string &entry);
    void at(std::chrono::milliseconds when, std::function<void()> body);
    void run(std::chrono::milliseconds until);
    /// Called before the action with this number is carried out, counted over all entries.
    void onAction(int number, std::function<void(const group_action &)> body);

    struct attempt_record {
        std::string entry;
        time_point deadline{};
        bool ended = false;
        bool finished = false;
        std::optional<error> failure;
        int accepted = 0;
        bool repeatable = true;
        std::uint64_t promptSeen = 0; ///< Generation in which an engine saw the prompt; 0: none.
    };
    std::map<std::string, attempt_record> attempts;
    int actions = 0;
    std::string trace; ///< One line for each action.

    /// Tokens held at engines and tables of living instances.
    token_count heldTokens();
    /// Breaches seen while running, and those of the end state; empty when all is well.
    std::string violations(bool everyAttemptFinishes);

private:
    struct node {
        view_maker maker;
        std::unique_ptr<group_coordinator> coordinator;
        std::unique_ptr<reservation_table> table;
        std::unique_ptr<memory_reconciler> reconciler;
        std::set<std::pair<group_key, backend_server_id>> released;
        time_point confirmedAt{};
        time_point viewLostUntil{};
        time_point pausedUntil{};
        time_point wakeAt{ time_point::max() };
        bool alive = true;
        time_point diedAt{};
    };
    struct scheduled {
        time_point when;
        std::uint64_t order;
        std::function<void()> body;
        bool operator>(const scheduled &other) const
        {
            return std::tie(when, order) > std::tie(other.when, other.order);
        }
    };
    using engine_work = std::function<result<std::string>(fake_engine &)>;

    void post(std::chrono::milliseconds delay, std::function<void()> body);
    void deliver(const std::function<void()> &body); ///< With delay, loss and duplicates.
    std::chrono::milliseconds delay();
    void toEntry(const std::string &entry, const group_event &event);
    void perform(const std::string &entry, const group_actions &list);
    void wakeLater(const std::string &entry);
    std::int64_t livingEntries() const;
    void inheritFromDead(view_maker &maker);
    void confirmView(const std::string &entry);
    void poll(const std::string &entry);
    void reconcile(const std::string &entry, const engine_holdings &holdings);
    result<engine_memory> memoryAt(const std::string &entry, const backend_server_id &backend, const group_key &key);

    void carry(const std::string &entry, const reserve_at_owner &action);
    void carry(const std::string &entry, const release_at_owner &action);
    template<typename kv_action> void carry(const std::string &entry, const kv_action &action); ///< Calls to engines.
    void carry(const std::string &entry, const start_completion &action);
    void carry(const std::string &entry, const cancel_completion &action);
    void carry(const std::string &entry, const fail_group &action);
    void callEngine(const std::string &entry, const engine_replied &reply, std::chrono::milliseconds work, const engine_work &body);
    void endCompletion(const std::string &entry, const start_completion &action);
    void breach(const std::string &text);

    world_options m_options;
    random_source m_random;
    time_point m_now = testStart;
    std::uint64_t m_order = 0;
    std::priority_queue<scheduled, std::vector<scheduled>, std::greater<>> m_queue;
    std::map<std::string, node> m_nodes;
    std::map<std::string, fake_engine> m_engines;
    std::map<engine_group_id, std::set<std::string>> m_chains; ///< Engines that prefilled for a group.
    std::map<int, std::function<void(const group_action &)>> m_hooks;
    std::string m_breaches;
};

} // namespace mustardtrail::group::testing
