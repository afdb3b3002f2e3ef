#pragma once

#include "gateway/store_reader_election.h"
#include "gateway/store_watcher.h"
#include "programs/gateway/background_worker.h"
#include "programs/gateway/change_decoding.h"
#include "programs/gateway/gateway_context.h"
#include "programs/gateway/monotonic_timer.h"
#include "programs/gateway/ordered_section.h"

namespace mustardtrail::gateway
{

struct store_time_limits {
    std::chrono::milliseconds changeApply; ///< For a published change to take effect.
    std::chrono::milliseconds reconnect; ///< For all to work again after a connection has failed.
};

/// Keeps the fleet state up to date with the platform's store, by its own queries or by the answers that another instance
/// of the data centre relays. Large changes are decoded by the worker, one at a time; the event loop puts them into force.
class store_reader
{
public:
    /// Changes take effect within a third of their time limit after the store answers.
    store_reader(boost::asio::any_io_executor executor,
        gateway_context &context,
        background_worker &worker,
        peer_address self,
        endpoint store,
        store_time_limits limits);

    boost::asio::awaitable<void> run();
    /// Latest change of the store that has been applied.
    store_position position() const;
    /// Records the era of the store that `source` has seen. Returns false when it is older than the known one.
    bool onEra(std::uint64_t era, std::string_view source);
    /// Applies a store answer relayed by another instance. `queriedAfter` is a time on this instance's clock before the store was
    /// queried.
    void onRelay(peer_address by, const store_relay &relay, std::optional<time_point> queriedAfter);

private:
    /// Changes that another instance relays, until they are in force.
    struct received_relay {
        peer_address by;
        store_relay relay;
        std::optional<time_point> queriedAfter;
        time_point receivedAt;
    };

    using relayed_changes = std::optional<std::vector<published_change>>;

    boost::asio::awaitable<result<http::response_message>> call(http::request_message message, std::chrono::milliseconds longPollTimeout);
    boost::asio::awaitable<void> query(store_query storeQuery);
    time_point nextQueryAt(time_point now) const;
    boost::asio::awaitable<result<decoded_answer>> decode(store_query::kind asked, std::string body, bool isForRelay);
    boost::asio::awaitable<void> decodeAndApply(received_relay received, ordered_section::pass pass);
    boost::asio::awaitable<relayed_changes> decode(const store_relay &relay);
    /// Whether the watcher still asks for the same changes or the same page.
    bool isAwaited(const store_query &asked, std::uint64_t era) const;
    void applyRelay(const received_relay &received, const relayed_changes &changes);
    void onKnownRelay(const received_relay &received);
    void requestMissing(const received_relay &received, bool willBeResent);
    void relayChanges(std::uint64_t fromRevision, decoded_answer answer, std::vector<clock_echo> echoes);
    void apply(const std::vector<published_change> &changes, time_point now);
    void onListPage(decoded_answer answer);
    bool onChanges(const decoded_answer &answer, time_point queriedAt);
    void confirmConfig(time_point queriedAt);
    void onFailure(std::string_view what, std::string_view detail, store_failure why = store_failure::no_answer);

    boost::asio::any_io_executor m_executor;
    gateway_context &m_context;
    background_worker &m_worker;
    ordered_section m_changeInWork; ///< From the decoding of a change until it is in force.
    endpoint m_store;
    store_watcher m_watcher;
    store_reader_election m_election;
    monotonic_timer m_queryTimer;
    time_point m_nextPollAt{}; ///< Earliest time of this instance's next regular query.
    std::vector<published_change> m_listedChanges; ///< Pages read so far of an incomplete list.
    time_point m_listRequestedAt{};
    bool m_wasReachable = false;
    bool m_didStoreWait = false; ///< Whether the store was allowed to wait for a change before the last answer.
};

} // namespace mustardtrail::gateway
