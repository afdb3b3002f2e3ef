#include "programs/entry/entry_host.h"

#include "api/completion_reader.h"
#include "base/json_access.h"
#include "config/update_codec.h"
#include "host/log.h"
#include "host/rpc_call.h"
#include "host/summary_codec.h"
#include "host/view_codec.h"
#include "node/peer_methods.h"
#include "programs/entry/backend_link.h"
#include "programs/entry/engine_calls.h"
#include "programs/entry/hop_link.h"
#include "rpc/rpc_dispatcher.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <stdexcept>

namespace mustardtrail::entry
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

constexpr size_t eventOverheadBytes = 64; ///< Counted for each event that waits for a reader.

} // namespace

/// JSON-RPC of other instances; the answer of the node to the call in progress.
struct entry_host::rpc_parts {
    rpc::rpc_dispatcher dispatcher;
    std::optional<result<json::value>> answer;
    std::uint64_t nextCall = 1;
};

entry_host::entry_host(asio::io_context &context, entry_settings settings, entry_metrics &metrics)
    : m_strand(context.get_executor())
    , m_settings(std::move(settings))
    , m_metrics(metrics)
    , m_node(m_settings.node)
    , m_client(m_strand, m_settings.cuts)
    , m_view(std::make_shared<membership::fleet_view>())
    , m_timer(m_strand)
    , m_viewSource(m_settings.node.self, m_settings.dataCentre, m_settings.view)
    , m_rpc(std::make_unique<rpc_parts>())
{
    for (const std::string_view name : { node::peer_method::claimKey,
             node::peer_method::endKey,
             node::peer_method::handOverKeys,
             node::peer_method::reserve,
             node::peer_method::release }) {
        m_rpc->dispatcher.add(std::string(name), [this, method = std::string(name)](const std::string &parameters) {
            m_rpc->answer.reset();
            handle(node::peer_call{ m_rpc->nextCall++, method, json::parse(parameters) });
            if (!m_rpc->answer || !*m_rpc->answer) {
                throw std::runtime_error(m_rpc->answer ? m_rpc->answer->error().detail : "no answer");
            }
            return json::serialize(**m_rpc->answer);
        });
    }
}

entry_host::~entry_host() = default;

asio::any_io_executor entry_host::strand() const
{
    return m_strand;
}

const entry_settings &entry_host::settings() const
{
    return m_settings;
}

const monotonic_clock &entry_host::clock() const
{
    return m_clock;
}

http::client &entry_host::httpClient()
{
    return m_client;
}

const host::pool_directory &entry_host::pools() const
{
    return m_pools;
}

std::shared_ptr<const membership::fleet_view> entry_host::view() const
{
    return m_view.load();
}

bool entry_host::isStopping() const
{
    return m_stopping;
}

size_t entry_host::runningRequests() const
{
    return m_node.runningRequests();
}

void entry_host::start()
{
    asio::co_spawn(m_strand, followView(), asio::detached);
}

void entry_host::markNotReady()
{
    m_stopping = true;
}

void entry_host::beginStop()
{
    handle(node::begin_stop{});
}

void entry_host::endStop()
{
    handle(node::end_stop{});
}

std::string entry_host::handleRpc(const std::string &text)
{
    return m_rpc->dispatcher.handle(text);
}

void entry_host::addCaller(const request::caller_request &request, caller_session session)
{
    m_callers[request.id] = std::move(session);
    handle(request);
}

void entry_host::callerGone(const request_id &request)
{
    if (m_callers.contains(request)) {
        handle(request::caller_gone{ request });
        m_callers.erase(request);
        m_prompts.erase(request);
    }
}

void entry_host::addHop(const node::hop_attempt &attempt, hop_session session)
{
    m_hops[attempt.work.attempt] = std::move(session);
    handle(node::hop_arrived{ attempt });
}

void entry_host::hopGone(const attempt_id &attempt)
{
    if (m_hops.erase(attempt) > 0) {
        handle(node::hop_closed{ attempt });
    }
}

void entry_host::handle(const node::entry_event &event)
{
    carryOut(m_node.handle(event, m_clock.now()));
    armTimer();
}

void entry_host::armTimer()
{
    const time_point now = m_clock.now();
    const auto wake = m_node.nextWake(now);
    if (wake == m_timerAt) {
        return;
    }
    m_timerAt = wake;
    if (!wake) {
        m_timer.cancel();
        return;
    }
    m_timer.expires_after(std::max(*wake - now, time_point::duration::zero()));
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
            m_timerAt.reset();
            handle(node::clock_tick{});
        }
    });
}

void entry_host::carryOut(const node::entry_actions &actions)
{
    for (const node::entry_action &action : actions) {
        std::visit(
            [this](const auto &item) {
                carryOut(item);
            },
            action);
    }
}

void entry_host::carryOut(const request::relay_output &action)
{
    const auto found = m_callers.find(action.request);
    if (found != m_callers.end()) {
        found->second.channel->push(action, action.text.size() + eventOverheadBytes);
    }
}

void entry_host::endCaller(const request_id &request, caller_event event)
{
    const auto found = m_callers.find(request);
    if (found != m_callers.end()) {
        found->second.channel->push(std::move(event), eventOverheadBytes);
        m_callers.erase(found);
        m_prompts.erase(request);
    }
}

void entry_host::carryOut(const request::complete_request &action)
{
    endCaller(action.request, action);
}

void entry_host::carryOut(const request::fail_request &action)
{
    endCaller(action.request, action);
}

std::shared_ptr<const payload> entry_host::payloadOf(const attempt_id &attempt, const request_id &request) const
{
    const auto hop = m_hops.find(attempt);
    if (hop != m_hops.end()) {
        return hop->second.content;
    }
    const auto caller = m_callers.find(request);
    return caller == m_callers.end() ? nullptr : caller->second.content;
}

size_t entry_host::waitingBytes(const attempt_id &attempt) const
{
    const auto hop = m_hops.find(attempt);
    if (hop != m_hops.end()) {
        return hop->second.channel->waitingBytes();
    }
    const auto request = m_attemptRequests.find(attempt);
    const auto caller = request == m_attemptRequests.end() ? m_callers.end() : m_callers.find(request->second);
    return caller == m_callers.end() ? 0 : caller->second.channel->waitingBytes();
}

void entry_host::carryOut(const node::forward_attempt &action)
{
    const attempt_id attempt = action.attempt.work.attempt;
    const auto content = payloadOf(attempt, action.request);
    if (!content) {
        return;
    }
    m_metrics.forwarded();
    m_attemptRequests[attempt] = action.request;
    const auto link = std::make_shared<hop_link>(*this, attempt);
    m_links[attempt] = link;
    asio::co_spawn(m_strand, link->run(action, content), [this, attempt, link](std::exception_ptr) {
        forgetLink(attempt, link);
    });
}

// A later connection of the same attempt keeps its entry.
void entry_host::forgetLink(const attempt_id &attempt, const std::shared_ptr<attempt_link> &link)
{
    const auto found = m_links.find(attempt);
    if (found != m_links.end() && found->second == link) {
        m_links.erase(found);
        m_attemptRequests.erase(attempt);
    }
}

void entry_host::carryOut(const node::close_hop &action)
{
    if (const auto found = m_links.find(action.attempt); found != m_links.end()) {
        found->second->close();
        m_links.erase(found);
        m_attemptRequests.erase(action.attempt);
    }
}

void entry_host::carryOut(const node::open_backend &action)
{
    const auto content = payloadOf(action.attempt, action.request);
    if (!content) {
        return;
    }
    m_metrics.attempt();
    if (!m_hops.contains(action.attempt)) {
        m_attemptRequests[action.attempt] = action.request;
    }
    const auto link = std::make_shared<backend_link>(*this, action.attempt, action.request, action.connection);
    m_links[action.attempt] = link;
    asio::co_spawn(m_strand, link->open(action, content), [this, attempt = action.attempt, link](std::exception_ptr) {
        forgetLink(attempt, link);
    });
}

void entry_host::carryOut(const node::resume_backend &action)
{
    if (const auto found = m_links.find(action.attempt); found != m_links.end()) {
        found->second->close();
    }
    const auto link = std::make_shared<backend_link>(*this, action.attempt, request_id(), action.connection);
    m_links[action.attempt] = link;
    asio::co_spawn(m_strand, link->resume(action), [this, attempt = action.attempt, link](std::exception_ptr) {
        forgetLink(attempt, link);
    });
}

void entry_host::carryOut(const node::cancel_backend &action)
{
    if (const auto found = m_links.find(action.attempt); found != m_links.end()) {
        found->second->close();
        m_links.erase(found);
        m_attemptRequests.erase(action.attempt);
    }
    if (!action.isEngine) {
        asio::post(m_strand, [this, action] {
            handle(node::backend_reported{ action.attempt, request::cancel_acknowledged{} });
        });
        return;
    }
    asio::co_spawn(m_strand, cancelAtEngine(m_client, action, m_clock), [this, action](std::exception_ptr, bool acknowledged) {
        if (acknowledged) {
            handle(node::backend_reported{ action.attempt, request::cancel_acknowledged{} });
        }
    });
}

void entry_host::carryOut(const node::reply_on_hop &action)
{
    const auto found = m_hops.find(action.attempt);
    if (found == m_hops.end()) {
        return;
    }
    const auto *output = std::get_if<request::attempt_output>(&action.event);
    found->second.channel->push(action, (output != nullptr ? output->text.size() : 0) + eventOverheadBytes);
    const bool isLast
        = std::holds_alternative<request::attempt_finished>(action.event) || std::holds_alternative<request::attempt_failed>(action.event);
    if (isLast) {
        m_hops.erase(found);
        m_links.erase(action.attempt);
    }
}

void entry_host::carryOut(const node::call_peer &action)
{
    auto call = host::callRpc(m_client, action.to, action.method, action.parameters, action.timeout);
    asio::co_spawn(m_strand, std::move(call), [this, number = action.call](std::exception_ptr, result<json::value> answer) {
        if (number != 0) {
            handle(node::peer_answered{ number, std::move(answer) });
        }
    });
}

void entry_host::carryOut(const node::peer_answer &action)
{
    m_rpc->answer = action.answer;
}

void entry_host::carryOut(const node::read_engine &action)
{
    asio::co_spawn(m_strand, readEngine(m_client, action, m_clock), [this](std::exception_ptr failure, node::engine_read read) {
        if (!failure) {
            handle(read);
        }
    });
}

void entry_host::carryOut(const node::call_engine &action)
{
    auto &prompt = m_prompts[action.request];
    const auto caller = m_callers.find(action.request);
    if (!prompt && caller != m_callers.end()) {
        const auto text = api::promptText(*caller->second.content->body, caller->second.content->kind);
        prompt = std::make_shared<const std::string>(text.value_or(std::string()));
    }
    const auto text = prompt;
    if (caller == m_callers.end()) {
        m_prompts.erase(action.request);
    }
    asio::co_spawn(
        m_strand, callEngine(m_client, action, text, m_clock), [this](std::exception_ptr failure, group::engine_replied replied) {
            if (!failure) {
                handle(replied);
            }
        });
}

void entry_host::carryOut(const node::release_group &action)
{
    asio::co_spawn(m_strand, releaseAtEngine(m_client, action, m_clock), asio::detached);
}

void entry_host::carryOut(const node::publish_summary &action)
{
    m_summaries = host::encodeSummary(action.summary);
}

json::object entry_host::nodeState() const
{
    json::object dump = m_node.dump(m_clock.now());
    dump["instance"] = m_settings.node.self.str();
    dump["data_centre"] = m_settings.dataCentre.str();
    dump["stopping"] = m_stopping.load();
    dump["view_answers"] = m_viewIsOwn.load();
    dump["view_lender"] = m_viewLender ? m_viewLender->str() : "";
    dump["revision"] = m_config.revision();
    dump["running_requests"] = m_node.runningRequests();
    return dump;
}

json::object entry_host::dump() const
{
    json::object dump = nodeState();
    dump["view"] = host::viewToJson(*m_view.load(), m_clock.now());
    return dump;
}

} // namespace mustardtrail::entry
