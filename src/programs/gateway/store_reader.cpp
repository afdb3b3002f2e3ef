#include "programs/gateway/store_reader.h"

#include "platform/published_changes.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds callLimit{ 1'000 }; ///< Hundreds of times the store's usual answer; beyond it the store counts as away.
constexpr int pausesPerBound = 3; ///< Leaves two thirds for a slow answer and what is already on its way.
const std::string everything; // One wait for all keys is one priced call.

} // namespace

store_reader::store_reader(gateway_context &context, endpoint store, milliseconds changeBound)
    : m_context(context)
    , m_store(std::move(store))
    , m_follower(changeBound / pausesPerBound)
{
}

asio::awaitable<void> store_reader::run()
{
    const auto executor = co_await asio::this_coro::executor;
    asio::steady_timer pause(executor);
    while (true) {
        const store_question question = m_follower.next();
        if (question.pauseBefore.count() > 0) {
            pause.expires_after(question.pauseBefore);
            boost::system::error_code ignored;
            co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        }
        co_await ask(question);
        m_context.state.expire(m_context.clock.now());
    }
}

asio::awaitable<result<http::response_message>> store_reader::call(http::request_message message, milliseconds wait)
{
    auto limits = http::call_limits::within(callLimit);
    limits.firstByte = callLimit + wait;
    co_return co_await m_context.client.call(m_store, std::move(message), limits);
}

asio::awaitable<void> store_reader::ask(store_question question)
{
    const time_point askedAt = m_context.clock.now();
    const bool isList = question.what == store_question::kind::list;
    http::request_message message = isList ? platform::listRequest(everything, question.afterKey)
                                           : platform::changesRequest(everything, question.afterRevision, question.storeWait);
    const milliseconds wait = isList ? milliseconds(0) : question.storeWait;
    const auto answer = co_await call(std::move(message), wait);
    if (!answer) {
        fail("no_answer", answer.error().detail);
        co_return;
    }
    if (answer->status == platform::historyGone) {
        m_context.metrics.storeCall("history_gone");
        m_context.log.write(log_line("store_history_gone").add("revision", static_cast<std::int64_t>(question.afterRevision)));
        m_follower.onHistoryGone();
        co_return;
    }
    if (answer->status != 200) {
        fail("refused", "status=" + std::to_string(answer->status));
        co_return;
    }
    const auto reply = isList ? platform::readListReply(answer->body) : platform::readChangesReply(answer->body);
    if (!reply) {
        fail("unreadable", reply.error().detail);
        co_return;
    }
    m_context.metrics.storeCall("answered");
    if (!m_wasReachable) {
        m_wasReachable = true;
        m_context.log.write(log_line("store_reachable").add("revision", static_cast<std::int64_t>(reply->revision)));
    }
    if (isList) {
        if (question.afterKey.empty()) {
            m_list.clear();
            m_listAskedAt = askedAt;
        }
        onPage(*reply);
    } else {
        onChanges(*reply, askedAt);
    }
}

void store_reader::onPage(const platform::store_reply &reply)
{
    for (const platform::store_change &change : reply.changes) {
        if (auto published = platform::readPublishedChange(change)) {
            m_list.push_back(std::move(*published));
        }
    }
    const std::string lastKey = reply.changes.empty() ? std::string() : reply.changes.back().key;
    const time_point now = m_context.clock.now();
    if (!m_follower.onPage(reply.revision, reply.hasMore, lastKey, now)) {
        return;
    }
    m_context.state.applyWhole(m_list, now, m_follower.settledAt());
    m_context.state.freshness.confirm(m_listAskedAt);
    m_list.clear();
}

void store_reader::onChanges(const platform::store_reply &reply, time_point askedAt)
{
    const time_point now = m_context.clock.now();
    if (!m_follower.onChanges(reply.revision, reply.changes.size(), now)) {
        m_context.log.write(log_line("store_answer_old").add("revision", static_cast<std::int64_t>(reply.revision)));
        return;
    }
    for (const platform::store_change &change : reply.changes) {
        if (const auto published = platform::readPublishedChange(change)) {
            m_context.state.apply(*published, now, m_follower.settledAt());
        }
    }
    m_context.state.freshness.confirm(askedAt);
}

void store_reader::fail(std::string_view what, std::string_view detail)
{
    m_context.metrics.storeCall(std::string(what));
    m_follower.onFailure();
    if (m_wasReachable) {
        m_wasReachable = false;
        m_context.log.write(log_line("store_lost").add("reason", what).add("detail", detail));
    }
}

} // namespace mustardtrail::gateway
