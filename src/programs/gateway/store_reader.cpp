#include "programs/gateway/store_reader.h"

#include "platform/header_names.h"
#include "platform/store_reply.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/redirect_error.hpp>
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
constexpr size_t maxAnswerBytesOnLoop = 16 * 1024; ///< A tenth of a millisecond of a core; a switch of threads would cost more delay.
constexpr size_t maxRelayBytesOnLoop = 1'024; ///< Compressed, of the same cost.
constexpr std::uint64_t maxRelaysInWork = 8; ///< Each expands to megabytes; beyond it the store is read.
const std::string allKeys; // Empty prefix: one watch over all keys costs a single priced call.

} // namespace

store_reader::store_reader(asio::any_io_executor executor,
    gateway_context &context,
    background_worker &worker,
    peer_address self,
    endpoint store,
    store_time_limits limits)
    : m_executor(executor)
    , m_context(context)
    , m_worker(worker)
    , m_changeInWork(executor)
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
    const auto pass = m_changeInWork.lineUp();
    co_await m_changeInWork.enter(pass);
    const store_query expected = m_watcher.nextQuery();
    if (expected.type != storeQuery.type || expected.afterKey != storeQuery.afterKey) {
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
    const bool isForRelay = !isList && !m_election.isBehind() && !echoes.empty();
    const std::uint64_t knownEra = m_watcher.position().era;
    auto decoded = co_await decode(storeQuery.type, std::move(answer->body), isForRelay);
    if (!isAwaited(expected, knownEra)) {
        m_context.log.write(log_line("store_answer_dropped").add("revision", static_cast<std::int64_t>(expected.afterRevision)));
        co_return;
    }
    if (!decoded) {
        onFailure("unreadable", decoded.error().detail);
        co_return;
    }
    m_context.metrics.recordStoreCall("answered");
    m_didStoreWait = longPollTimeout > milliseconds(0);
    for (const std::string &item : decoded->unreadableItems) {
        m_context.log.write(log_line("store_item_unreadable").add("detail", item));
    }
    if (!m_wasReachable) {
        m_wasReachable = true;
        m_context.log.write(log_line("store_reachable").add("revision", static_cast<std::int64_t>(decoded->revision)));
    }
    if (isList) {
        if (storeQuery.afterKey.empty()) {
            m_listedChanges.clear();
            m_listRequestedAt = queriedAt;
        }
        onListPage(std::move(*decoded));
    } else if (onChanges(*decoded, queriedAt) && isForRelay) {
        relayChanges(storeQuery.afterRevision, std::move(*decoded), std::move(echoes));
    }
}

asio::awaitable<result<decoded_answer>> store_reader::decode(store_query::kind asked, std::string body, bool isForRelay)
{
    const bool isSmall = body.size() <= maxAnswerBytesOnLoop;
    std::function<result<decoded_answer>()> work = [asked, body = std::move(body), after = m_watcher.revision(), isForRelay]() mutable {
        return decodeAnswer(asked, std::move(body), after, isForRelay);
    };
    std::string problem;
    try {
        if (isSmall) {
            co_return work();
        }
        auto decoded = co_await m_worker.compute(std::move(work));
        co_return decoded;
    } catch (const std::exception &thrown) {
        problem = thrown.what();
    }
    m_context.log.write(log_line("store_answer_not_decoded").add("detail", problem));
    co_return tl::unexpected(error{ error_code::peer_message_invalid, verdict::not_run, std::move(problem), {} });
}

bool store_reader::isAwaited(const store_query &asked, std::uint64_t era) const
{
    const store_query now = m_watcher.nextQuery();
    return m_watcher.position().era == era && now.type == asked.type && now.afterKey == asked.afterKey
        && now.afterRevision == asked.afterRevision;
}

void store_reader::onListPage(decoded_answer answer)
{
    std::move(answer.changes.begin(), answer.changes.end(), std::back_inserter(m_listedChanges));
    const time_point now = m_context.clock.now();
    const bool isRestored = m_watcher.isFirstListOfEra();
    if (!m_watcher.onPage(answer.revision, answer.hasMore, answer.lastKey, now)) {
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

bool store_reader::onChanges(const decoded_answer &answer, time_point queriedAt)
{
    const time_point now = m_context.clock.now();
    if (!m_watcher.onChanges(answer.revision, answer.count, now)) {
        m_context.log.write(log_line("store_answer_old").add("revision", static_cast<std::int64_t>(answer.revision)));
        return false;
    }
    apply(answer.changes, now);
    confirmConfig(queriedAt);
    return true;
}

void store_reader::apply(const std::vector<published_change> &changes, time_point now)
{
    for (const published_change &change : changes) {
        m_context.state.apply(change, now, m_watcher.graceUntil());
    }
}

void store_reader::relayChanges(std::uint64_t fromRevision, decoded_answer answer, std::vector<clock_echo> echoes)
{
    if (m_election.isBehind()) {
        return;
    }
    const auto graceLeft = std::chrono::duration_cast<milliseconds>(m_watcher.graceUntil() - m_context.clock.now());
    store_relay relay;
    relay.era = m_watcher.position().era;
    relay.fromRevision = fromRevision;
    relay.toRevision = answer.revision;
    relay.graceLeft = std::max(graceLeft, milliseconds(0));
    relay.echoes = std::move(echoes);
    if (answer.forRelay.size() <= maxRelayBytes) {
        relay.changes = std::move(answer.forRelay);
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
    const received_relay received{ by, relay, queriedAfter, now };
    if (relay.toRevision <= m_watcher.revision()) {
        onKnownRelay(received);
    } else if (m_changeInWork.size() == 0 && (!relay.changes || relay.changes->size() <= maxRelayBytesOnLoop)) {
        applyRelay(received, relay.changes ? decodeRelay(*relay.changes, m_watcher.revision()) : std::nullopt);
    } else if (m_changeInWork.size() >= maxRelaysInWork) {
        requestMissing(received, false);
    } else {
        asio::co_spawn(m_executor, decodeAndApply(received, m_changeInWork.lineUp()), [](std::exception_ptr failure) {
            if (failure) {
                std::rethrow_exception(failure);
            }
        });
    }
}

asio::awaitable<void> store_reader::decodeAndApply(received_relay received, ordered_section::pass pass)
{
    co_await m_changeInWork.enter(pass);
    const store_query expected = m_watcher.nextQuery();
    if (received.relay.era != m_watcher.position().era || !m_watcher.hasList()) {
        co_return; // The store was restored since.
    }
    if (received.relay.toRevision <= expected.afterRevision) {
        onKnownRelay(received);
        co_return;
    }
    const auto changes = co_await decode(received.relay);
    if (isAwaited(expected, received.relay.era)) {
        applyRelay(received, changes);
    }
}

asio::awaitable<store_reader::relayed_changes> store_reader::decode(const store_relay &relay)
{
    if (!relay.changes) {
        co_return std::nullopt;
    }
    std::function<relayed_changes()> work = [bytes = *relay.changes, after = m_watcher.revision()] {
        return decodeRelay(bytes, after);
    };
    std::string problem;
    try {
        auto changes = co_await m_worker.compute(std::move(work));
        co_return changes;
    } catch (const std::exception &thrown) {
        problem = thrown.what();
    }
    m_context.log.write(log_line("relay_not_decoded").add("detail", problem));
    co_return std::nullopt;
}

void store_reader::applyRelay(const received_relay &received, const relayed_changes &changes)
{
    const store_relay &relay = received.relay;
    const time_point graceUntil = received.receivedAt + relay.graceLeft;
    if (!changes || !m_watcher.onRelay(relay.fromRevision, relay.toRevision, graceUntil, received.receivedAt)) {
        requestMissing(received, relay.changes.has_value());
        return;
    }
    const time_point now = m_context.clock.now();
    apply(*changes, now);
    m_context.state.expire(now);
    m_election.recordCaughtUp();
    if (received.queriedAfter) {
        confirmConfig(*received.queriedAfter);
    }
}

void store_reader::onKnownRelay(const received_relay &received)
{
    m_watcher.onRelayOfKnownRevision(received.relay.toRevision, received.receivedAt);
    if (received.queriedAfter) {
        confirmConfig(*received.queriedAfter);
    }
}

void store_reader::requestMissing(const received_relay &received, bool willBeResent)
{
    m_election.recordMissedChanges(willBeResent, m_context.clock.now());
    m_context.requestMissingChanges(received.by);
    m_queryTimer.cancel();
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
