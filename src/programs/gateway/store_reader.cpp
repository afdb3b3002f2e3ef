#include "programs/gateway/store_reader.h"

#include "platform/header_names.h"
#include "platform/published_changes.h"
#include "programs/gateway/relayed_changes.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds callTimeout{ 1'000 }; ///< Hundreds of times the usual response time; after it the store counts as unreachable.
constexpr int pollsPerChangeBound = 4; ///< Of the bound, a quarter remains for the wait at the store and two for replacing a failed reader.
constexpr milliseconds relayMargin{ 200 }; ///< Allows for a slow answer of the store and the transfer of the relay.
constexpr size_t maxRelayBytes = 16'000; ///< Compressed: a few hundred routes or servers; each instance reads a larger answer itself.
const std::string allKeys; // Empty prefix: one watch over all keys costs a single priced call.

} // namespace

store_reader::store_reader(
    asio::any_io_executor executor, gateway_context &context, peer_address self, endpoint store, store_time_limits limits)
    : m_context(context)
    , m_store(std::move(store))
    , m_watcher(limits.changeApply / pollsPerChangeBound, limits.reconnect)
    , m_election(self, limits.changeApply / pollsPerChangeBound + store_watcher::longPollTimeout + relayMargin)
    , m_queryTimer(executor)
{
}

asio::awaitable<void> store_reader::run()
{
    while (true) {
        const time_point now = m_context.clock.now();
        m_context.state.expire(now);
        const time_point due = nextQueryAt(now);
        if (due > now) {
            m_queryTimer.expires_after(due - now);
            boost::system::error_code ignored;
            co_await m_queryTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
            continue;
        }
        store_query storeQuery = m_watcher.nextQuery();
        // Callers are refused until the answer, and it is seldom a change that ends the wait. Alternates with queries that wait, as
        // an answer may confirm nothing.
        if ((m_didStoreWait || !m_watcher.isReachable()) && !m_context.state.freshness.isFresh(now)) {
            storeQuery.longPollTimeout = milliseconds(0);
        }
        co_await query(storeQuery);
        m_election.recordReadResult(m_watcher.isReachable());
        m_nextPollAt = m_context.clock.now() + m_watcher.nextQuery().delay;
    }
}

time_point store_reader::nextQueryAt(time_point now) const
{
    if (!m_watcher.hasList() || !m_watcher.isListConfirmed()) {
        return m_nextPollAt;
    }
    const time_point due = m_election.nextReadAt(now);
    return m_election.isBehind() && m_watcher.isReachable() ? due : std::max(m_nextPollAt, due);
}

store_position store_reader::position() const
{
    return m_watcher.position();
}

bool store_reader::onEra(std::uint64_t era, std::string_view source)
{
    const store_position before = m_watcher.position();
    if (!m_watcher.onEra(era, m_context.clock.now())) {
        return false;
    }
    if (m_watcher.position().era != before.era && before.revision > 0) {
        m_context.log.write(log_line("store_era_changed")
                                .add("era", static_cast<std::int64_t>(era))
                                .add("before", static_cast<std::int64_t>(before.era))
                                .add("revision", static_cast<std::int64_t>(before.revision))
                                .add("source", source));
        m_context.metrics.recordStoreCall("restored");
        m_queryTimer.cancel();
    }
    return true;
}

asio::awaitable<result<http::response_message>> store_reader::call(http::request_message message, milliseconds longPollTimeout)
{
    auto limits = http::call_limits::within(callTimeout);
    limits.firstByte = callTimeout + longPollTimeout;
    co_return co_await m_context.client.call(m_store, std::move(message), limits);
}

asio::awaitable<void> store_reader::query(store_query storeQuery)
{
    const time_point queriedAt = m_context.clock.now();
    std::vector<clock_echo> echoes = m_context.state.peers.storeRelayClocks(queriedAt);
    const bool isList = storeQuery.type == store_query::kind::list;
    http::request_message message = isList ? platform::listRequest(allKeys, storeQuery.afterKey, storeQuery.mayBeStale)
                                           : platform::watchRequest(allKeys, storeQuery.afterRevision, storeQuery.longPollTimeout);
    const milliseconds longPollTimeout = isList ? milliseconds(0) : storeQuery.longPollTimeout;
    auto answer = co_await call(std::move(message), longPollTimeout);
    if (!answer) {
        const bool isTooLarge = answer.error().outcome == verdict::ran;
        const auto why = isTooLarge ? store_failure::too_large : store_failure::no_answer;
        onFailure(isTooLarge ? "too_large" : "no_answer", answer.error().detail, why);
        co_return;
    }
    const auto era = platform::readStoreEra(answer->headers);
    if (const std::string_view text = answer->headers.find(platform::header::storeEra); !era && !text.empty()) {
        m_context.log.write(log_line("store_era_ignored").add("era", text));
    }
    if (era && !onEra(*era, "store")) {
        onFailure("older_era", "era=" + std::to_string(*era));
        co_return;
    }
    if (const store_query expected = m_watcher.nextQuery(); expected.type != storeQuery.type || expected.afterKey != storeQuery.afterKey) {
        co_return; // The store was restored, as this answer or another instance showed: all is listed anew.
    }
    if (answer->status == platform::historyGoneStatus) {
        m_context.metrics.recordStoreCall("history_gone");
        m_context.log.write(log_line("store_history_gone").add("revision", static_cast<std::int64_t>(storeQuery.afterRevision)));
        m_watcher.onHistoryGone();
        co_return;
    }
    if (answer->status != 200) {
        const auto why = answer->status == platform::beyondLimitStatus ? store_failure::beyond_limit : store_failure::no_answer;
        onFailure("refused", "status=" + std::to_string(answer->status), why);
        co_return;
    }
    const auto reply = isList ? platform::readListReply(answer->body) : platform::readWatchReply(answer->body);
    if (!reply) {
        onFailure("unreadable", reply.error().detail);
        co_return;
    }
    m_context.metrics.recordStoreCall("answered");
    m_didStoreWait = longPollTimeout > milliseconds(0);
    for (const std::string &item : reply->unreadableItems) {
        m_context.log.write(log_line("store_item_unreadable").add("detail", item));
    }
    if (!m_wasReachable) {
        m_wasReachable = true;
        m_context.log.write(log_line("store_reachable").add("revision", static_cast<std::int64_t>(reply->revision)));
    }
    if (isList) {
        if (storeQuery.afterKey.empty()) {
            m_listedChanges.clear();
            m_listRequestedAt = queriedAt;
        }
        onListPage(*reply);
    } else if (onChanges(*reply, queriedAt)) {
        relayChanges(storeQuery, *reply, std::move(echoes));
    }
}

void store_reader::onListPage(const platform::store_reply &reply)
{
    for (const platform::store_change &change : reply.changes) {
        if (auto published = platform::readPublishedChange(change)) {
            m_listedChanges.push_back(std::move(*published));
        }
    }
    const std::string lastKey = reply.changes.empty() ? std::string() : reply.changes.back().key;
    const time_point now = m_context.clock.now();
    const bool isRestored = m_watcher.isFirstListOfEra();
    if (!m_watcher.onPage(reply.revision, reply.hasMore, lastKey, now)) {
        return;
    }
    if (isRestored) {
        m_context.state.applyRestoredSnapshot(m_listedChanges, now, m_watcher.graceUntil());
    } else {
        m_context.state.applySnapshot(m_listedChanges, now, m_watcher.graceUntil());
    }
    if (m_watcher.isListConfirmed()) {
        confirmConfig(m_listRequestedAt);
    }
    m_listedChanges.clear();
}

bool store_reader::onChanges(const platform::store_reply &reply, time_point queriedAt)
{
    const time_point now = m_context.clock.now();
    const std::uint64_t revisionBefore = m_watcher.revision();
    if (!m_watcher.onChanges(reply.revision, reply.changes.size(), now)) {
        m_context.log.write(log_line("store_answer_old").add("revision", static_cast<std::int64_t>(reply.revision)));
        return false;
    }
    apply(reply.changes, revisionBefore, now);
    confirmConfig(queriedAt);
    return true;
}

void store_reader::apply(const std::vector<platform::store_change> &changes, std::uint64_t afterRevision, time_point now)
{
    for (const platform::store_change &change : changes) {
        if (change.revision <= afterRevision) {
            continue;
        }
        if (const auto published = platform::readPublishedChange(change)) {
            m_context.state.apply(*published, now, m_watcher.graceUntil());
        }
    }
}

void store_reader::relayChanges(const store_query &storeQuery, const platform::store_reply &reply, std::vector<clock_echo> echoes)
{
    if (m_election.isBehind() || echoes.empty()) {
        return;
    }
    const auto graceLeft = std::chrono::duration_cast<milliseconds>(m_watcher.graceUntil() - m_context.clock.now());
    store_relay relay;
    relay.era = m_watcher.position().era;
    relay.fromRevision = storeQuery.afterRevision;
    relay.toRevision = reply.revision;
    relay.graceLeft = std::max(graceLeft, milliseconds(0));
    relay.echoes = std::move(echoes);
    std::string changes = encodeRelayedChanges(reply.changes);
    if (changes.size() <= maxRelayBytes) {
        relay.changes = std::move(changes);
    }
    m_context.relayStoreChanges(std::move(relay));
}

void store_reader::onRelay(peer_address by, const store_relay &relay, std::optional<time_point> queriedAfter)
{
    if (!onEra(relay.era, "relay") || !m_watcher.hasList()) {
        return;
    }
    const time_point now = m_context.clock.now();
    m_election.recordRelay(by, now);
    if (relay.toRevision > m_watcher.revision()) {
        const std::uint64_t revisionBefore = m_watcher.revision();
        const auto changes = relay.changes ? decodeRelayedChanges(*relay.changes) : std::nullopt;
        if (!changes || !m_watcher.onRelay(relay.fromRevision, relay.toRevision, now + relay.graceLeft, now)) {
            m_election.recordMissedChanges(relay.changes.has_value(), now);
            m_context.requestMissingChanges(by);
            m_queryTimer.cancel();
            return;
        }
        apply(*changes, revisionBefore, now);
        m_context.state.expire(now);
        m_election.recordCaughtUp();
    } else {
        m_watcher.onRelayOfKnownRevision(relay.toRevision, now);
    }
    if (queriedAfter) {
        confirmConfig(*queriedAfter);
    }
}

// A restored store may lack a configuration that took a key away, until the operator has written it again.
void store_reader::confirmConfig(time_point queriedAt)
{
    const time_point now = m_context.clock.now();
    if (!m_watcher.isSettling(now)) {
        m_context.state.confirmConfig(queriedAt, now);
    }
}

void store_reader::onFailure(std::string_view what, std::string_view detail, store_failure why)
{
    m_context.metrics.recordStoreCall(std::string(what));
    m_watcher.onFailure(why);
    if (m_wasReachable) {
        m_wasReachable = false;
        m_context.log.write(log_line("store_lost").add("reason", what).add("detail", detail));
    }
}

} // namespace mustardtrail::gateway
