#pragma once

#include "gateway/store_reader_election.h"
#include "gateway/store_watcher.h"
#include "platform/store_reply.h"
#include "programs/gateway/gateway_context.h"
#include "programs/gateway/monotonic_timer.h"

namespace mustardtrail::gateway
{

struct store_time_limits {
    std::chrono::milliseconds changeApply; ///< For a published change to take effect.
    std::chrono::milliseconds reconnect; ///< For all to work again after a connection has failed.
};

/// Keeps the fleet state up to date with the platform's store, by its own queries or by the answers that another instance
/// of the data centre relays.
class store_reader
{
public:
    /// Changes take effect within a third of their time limit after the store answers.
    store_reader(
        boost::asio::any_io_executor executor, gateway_context &context, peer_address self, endpoint store, store_time_limits limits);

    boost::asio::awaitable<void> run();
    /// Latest change of the store that has been applied.
    store_position position() const;
    /// Records the era of the store that `source` has seen. Returns false when it is older than the known one.
    bool onEra(std::uint64_t era, std::string_view source);
    /// Applies a store answer relayed by another instance. `queriedAfter` is a time on this instance's clock before the store was
    /// queried.
    void onRelay(peer_address by, const store_relay &relay, std::optional<time_point> queriedAfter);

private:
    boost::asio::awaitable<result<http::response_message>> call(http::request_message message, std::chrono::milliseconds longPollTimeout);
    boost::asio::awaitable<void> query(store_query storeQuery);
    time_point nextQueryAt(time_point now) const;
    void relayChanges(const store_query &storeQuery, const platform::store_reply &reply, std::vector<clock_echo> echoes);
    void apply(const std::vector<platform::store_change> &changes, std::uint64_t afterRevision, time_point now);
    void onListPage(const platform::store_reply &reply);
    bool onChanges(const platform::store_reply &reply, time_point queriedAt);
    void confirmConfig(time_point queriedAt);
    void onFailure(std::string_view what, std::string_view detail, store_failure why = store_failure::no_answer);

    gateway_context &m_context;
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
