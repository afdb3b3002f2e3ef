#pragma once

#include "gateway/store_reader_election.h"
#include "gateway/store_watcher.h"
#include "platform/store_reply.h"
#include "programs/gateway/gateway_context.h"

#include <boost/asio/steady_timer.hpp>

namespace mustardtrail::gateway
{

/// Follows the platform's store for as long as the process runs: with own questions, or by what another instance of the
/// data centre has read.
class store_reader
{
public:
    /// Changes are in force within a third of `changeBound` after the store answers.
    store_reader(boost::asio::any_io_executor executor,
        gateway_context &context,
        peer_address self,
        endpoint store,
        std::chrono::milliseconds changeBound);

    boost::asio::awaitable<void> run();
    /// Up to which the store is known.
    std::uint64_t revision() const;
    /// Another instance told what it read; `askedAfter`: on this instance's clock, before the store was asked.
    void onRelay(peer_address by, const store_relay &relay, std::optional<time_point> askedAfter);

private:
    boost::asio::awaitable<result<http::response_message>> call(http::request_message message, std::chrono::milliseconds wait);
    boost::asio::awaitable<void> query(store_query question);
    time_point nextQueryAt(time_point now) const;
    void relayChanges(const store_query &question, const platform::store_reply &reply, std::string body, std::vector<clock_echo> echoes);
    void apply(const std::vector<platform::store_change> &changes, std::uint64_t afterRevision, time_point now);
    void onListPage(const platform::store_reply &reply);
    bool onChanges(const platform::store_reply &reply, time_point askedAt);
    void onFailure(std::string_view what, std::string_view detail);

    gateway_context &m_context;
    endpoint m_store;
    store_watcher m_follower;
    store_reader_election m_election;
    boost::asio::steady_timer m_queryTimer;
    time_point m_nextPollAt{}; ///< Of the next own question.
    std::vector<published_change> m_listedChanges; ///< Pages of a list that is being read.
    time_point m_listRequestedAt{};
    bool m_wasReachable = false;
};

} // namespace mustardtrail::gateway
