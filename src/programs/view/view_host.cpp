#include "programs/view/view_host.h"

#include "base/json_access.h"
#include "host/log.h"
#include "host/partition_control.h"
#include "host/rpc_call.h"
#include "host/view_codec.h"
#include "http/status.h"
#include "programs/view/engine_orders.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::view
{

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

constexpr std::chrono::seconds wallClockInterval{ 5 };
constexpr milliseconds entryGoneAfter{ 1'500 };
constexpr std::chrono::seconds loadKept{ 10 }; ///< Older summaries of a peer are not passed to the entry.
constexpr size_t datagramOverheadBytes = 28; ///< IP and UDP headers.

error platformError(std::string detail)
{
    return error{ error_code::peer_connection_lost, verdict::not_run, std::move(detail), {} };
}

result<std::string> bodyOf(const result<http::response_message> &answer)
{
    if (!answer) {
        return tl::unexpected(answer.error());
    }
    if (answer->status != http::statusOk) {
        return tl::unexpected(platformError("status=" + std::to_string(answer->status)));
    }
    return answer->body;
}

http::call_limits limitsOf(milliseconds timeout)
{
    http::call_limits limits = http::call_limits::within(timeout);
    limits.bodyBytes = 64 * 1024 * 1024;
    return limits;
}

} // namespace

view_host::view_host(asio::io_context &context, view_program_settings settings)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_core(m_settings.core)
    , m_orders({}, random_source(m_settings.core.seed))
    , m_client(context.get_executor(), m_settings.cuts)
    , m_socket(context)
    , m_timer(context)
    , m_orderTimer(context)
    , m_view(std::make_shared<membership::fleet_view>())
{
    m_rpc.add("view_get", [this](const std::string &parameters) {
        return answerView(parameters);
    });
    m_rpc.add("config_delta", [this](const std::string &parameters) {
        return answerDelta(parameters);
    });
}

result<void> view_host::open()
{
    boost::system::error_code failure;
    const asio::ip::udp::endpoint local(asio::ip::make_address(m_settings.listen.address, failure), m_settings.listen.port);
    m_socket.open(local.protocol(), failure);
    if (!failure) {
        m_socket.bind(local, failure);
    }
    if (failure) {
        return tl::unexpected(error{
            error_code::settings_out_of_range, verdict::not_run, "listen " + toString(m_settings.listen) + ": " + failure.message(), {} });
    }
    return {};
}

void view_host::start()
{
    asio::co_spawn(m_context, readWallClock(), asio::detached);
    receive();
    handle(membership::clock_tick{});
}

void view_host::beginStop()
{
    handle(membership::begin_stop{});
}

bool view_host::entryIsGone() const
{
    return m_clock.now() - m_askedAt > entryGoneAfter;
}

void view_host::handle(const membership::view_event &event)
{
    for (const membership::view_action &action : m_core.handle(event, m_clock.now())) {
        std::visit(
            [this](const auto &item) {
                carryOut(item);
            },
            action);
    }
    armTimer();
}

void view_host::armTimer()
{
    m_timer.expires_after(std::max(m_core.nextWake() - m_clock.now(), time_point::duration::zero()));
    m_timer.async_wait([this](boost::system::error_code failure) {
        if (!failure) {
            handle(membership::clock_tick{});
        }
    });
}

void view_host::receive()
{
    m_socket.async_receive_from(asio::buffer(m_datagram), m_from, [this](boost::system::error_code failure, size_t count) {
        if (failure == asio::error::operation_aborted) {
            return;
        }
        if (!failure) {
            takeDatagram(count);
        }
        receive();
    });
}

void view_host::takeDatagram(size_t count)
{
    const endpoint from{ m_from.address().to_string(), m_from.port() };
    if (m_client.isPartitionedFrom(from)) {
        return;
    }
    m_bytesReceived += count + datagramOverheadBytes;
    handle(membership::datagram_received{ from, std::string(m_datagram.data(), count) });
}

asio::awaitable<void> view_host::readWallClock()
{
    asio::steady_timer pause(m_context);
    boost::system::error_code failure;
    while (!failure) {
        handle(membership::wall_clock_reading{ std::chrono::system_clock::now() });
        pause.expires_after(wallClockInterval);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
}

void view_host::carryOut(const membership::send_datagram &action)
{
    if (m_client.isPartitionedFrom(action.to)) {
        return;
    }
    boost::system::error_code ignored;
    const asio::ip::udp::endpoint to(asio::ip::make_address(action.to.address, ignored), action.to.port);
    m_bytesSent += action.bytes.size() + datagramOverheadBytes;
    m_socket.send_to(asio::buffer(action.bytes), to, 0, ignored);
}

void view_host::carryOut(const membership::read_config &action)
{
    ++m_configReads;
    asio::co_spawn(m_context, readPlatformConfig(action), asio::detached);
}

asio::awaitable<void> view_host::readPlatformConfig(membership::read_config action)
{
    http::request_message message;
    message.target = "/v1/config?after=" + std::to_string(action.afterRevision) + "&wait_ms=" + std::to_string(action.wait.count());
    const auto answer = co_await m_client.call(m_settings.platform, std::move(message), limitsOf(action.timeout));
    handle(membership::config_read_result{ bodyOf(answer) });
}

void view_host::carryOut(const membership::read_live_list &action)
{
    asio::co_spawn(m_context, readPlatformList(action), asio::detached);
}

asio::awaitable<void> view_host::readPlatformList(membership::read_live_list action)
{
    http::request_message message;
    message.target = "/v1/live";
    const auto answer = co_await m_client.call(m_settings.platform, std::move(message), limitsOf(action.timeout));
    handle(membership::live_list_result{ bodyOf(answer) });
}

void view_host::carryOut(const membership::fetch_delta &action)
{
    asio::co_spawn(m_context, fetchFromPeer(action), asio::detached);
}

asio::awaitable<void> view_host::fetchFromPeer(membership::fetch_delta action)
{
    json::object parameters;
    parameters["after_revision"] = action.afterRevision;
    const auto answer = co_await host::callRpc(m_client, action.view, "config_delta", std::move(parameters), action.timeout);
    result<std::string> body = tl::unexpected(platformError("no delta"));
    if (!answer) {
        body = tl::unexpected(answer.error());
    } else if (const json::object *object = answer->if_object()) {
        body = json_access::textOr(*object, "update");
    }
    handle(membership::delta_received{ action.peer, body });
}

void view_host::carryOut(const membership::answer_delta &action)
{
    m_delta = action.body;
}

void view_host::carryOut(const membership::publish_view &action)
{
    m_viewVersion += host::sameContent(*m_view, *action.view) ? 0 : 1;
    m_view = action.view;
    handleOrder(orders::view_updated{ m_view });
}

void view_host::carryOut(const membership::load_summaries_received &action)
{
    m_loads[action.peer] = peer_load{ m_clock.now(), action.summaries };
}

void view_host::carryOut(const membership::log_event &action)
{
    host::log(host::log_level::info, log_line("view").add("detail", action.line));
}

std::string view_host::deltaAfter(std::int64_t revision)
{
    m_delta.clear();
    handle(membership::delta_requested{ 0, revision });
    return m_delta;
}

std::string view_host::answerDelta(const std::string &parameters)
{
    json::object answer;
    answer["update"] = deltaAfter(json_access::numberOr(json_access::objectFromText(parameters), "after_revision", 0));
    return json::serialize(answer);
}

void view_host::takeSummaries(const json::object &asked)
{
    const json::array *summaries = json_access::arrayAt(asked, "summaries");
    if (summaries == nullptr) {
        return;
    }
    membership::load_summaries_set load;
    for (const json::value &summary : *summaries) {
        if (summary.is_string()) {
            load.summaries.emplace_back(summary.get_string());
        }
    }
    handle(load);
}

json::array view_host::peerLoads(time_point now) const
{
    json::array loads;
    for (const auto &[peer, load] : m_loads) {
        if (now - load.at > loadKept) {
            continue;
        }
        json::array items;
        for (const std::string &summary : load.summaries) {
            items.emplace_back(summary);
        }
        const auto age = std::chrono::duration_cast<milliseconds>(now - load.at).count();
        loads.push_back(json::object{ { "peer", peer.str() }, { "age_ms", age }, { "items", std::move(items) } });
    }
    return loads;
}

// The entry asks often; what it knows already is not sent again.
std::string view_host::answerView(const std::string &parameters)
{
    const json::object asked = json_access::objectFromText(parameters);
    const time_point now = m_clock.now();
    // An entry of another instance, whose own view is silent, borrows this one: it says nothing of this instance's entry.
    if (!json_access::boolOr(asked, "borrow", false)) {
        m_askedAt = now;
        takeSummaries(asked);
    }
    json::object answer;
    const std::int64_t after = json_access::numberOr(asked, "after_revision", 0);
    if (m_view->config && m_view->config->revision > after) {
        answer["config"] = deltaAfter(after);
    }
    const auto incarnation = static_cast<std::int64_t>(m_settings.core.incarnation);
    const bool isKnown = json_access::numberOr(asked, "view_incarnation", -1) == incarnation
        && json_access::numberOr(asked, "view_version", -1) == m_viewVersion;
    answer["view_incarnation"] = incarnation;
    answer["view_version"] = m_viewVersion;
    if (isKnown) {
        answer["confirmed_ms"] = std::chrono::ceil<milliseconds>(now - m_view->confirmedAt).count();
    } else {
        answer["view"] = host::viewToJson(*m_view, now);
    }
    answer["summaries"] = peerLoads(now);
    return json::serialize(answer);
}

endpoint view_host::addressOf(const backend_server_id &backend) const
{
    if (!m_view->config) {
        return {};
    }
    const auto found = m_view->config->backendServers.find(backend);
    return found == m_view->config->backendServers.end() ? endpoint{} : found->second.address;
}

void view_host::handleOrder(const orders::order_event &event)
{
    for (const orders::order_action &action : m_orders.handle(event, m_clock.now())) {
        std::visit(
            [this](const auto &item) {
                carryOut(item);
            },
            action);
    }
    const auto wake = m_orders.nextWake();
    if (!wake) {
        return;
    }
    m_orderTimer.expires_after(std::max(*wake - m_clock.now(), time_point::duration::zero()));
    m_orderTimer.async_wait([this](boost::system::error_code failure) {
        if (failure) {
            return;
        }
        for (const orders::order_action &action : m_orders.onTick(m_clock.now())) {
            std::visit(
                [this](const auto &item) {
                    carryOut(item);
                },
                action);
        }
        handleOrder(orders::view_updated{ m_view });
    });
}

void view_host::carryOut(const orders::read_state &action)
{
    asio::co_spawn(m_context, readState(action, addressOf(action.backend)), asio::detached);
}

void view_host::carryOut(const orders::send_order &action)
{
    asio::co_spawn(m_context, sendOrder(action, addressOf(action.backend)), asio::detached);
}

asio::awaitable<void> view_host::readState(orders::read_state action, endpoint to)
{
    const auto left = std::chrono::duration_cast<milliseconds>(action.deadline - m_clock.now());
    http::request_message message;
    message.target = "/state";
    const auto answer = co_await m_client.call(to, std::move(message), limitsOf(std::max(left, milliseconds(1))));
    const auto state = engineStateFrom(bodyOf(answer));
    if (!state) {
        handleOrder(orders::state_failed{ action.backend, state.error() });
        co_return;
    }
    handle(membership::fencing_seen{ action.backend, state->highestFencingNumber });
    handleOrder(orders::state_read{ action.backend, *state });
}

asio::awaitable<void> view_host::sendOrder(orders::send_order action, endpoint to)
{
    const auto left = std::chrono::duration_cast<milliseconds>(action.deadline - m_clock.now());
    http::call_limits limits = limitsOf(std::max(left, milliseconds(1)));
    limits.beforeSend = [this, action]() -> std::optional<error> {
        if (m_orders.maySend(action, m_clock.now())) {
            return std::nullopt;
        }
        return error{ error_code::view_not_confirmed, verdict::not_run, "backend=" + action.backend.str(), {} };
    };
    ++m_ordersSent;
    const auto answer = co_await m_client.call(to, orderRequest(action.order), limits);
    const auto outcome = orderOutcome(answer);
    if (!outcome) {
        handleOrder(orders::order_failed{ action.backend, outcome.error() });
    } else {
        handleOrder(orders::order_accepted{ action.backend });
    }
    log_line line("order_sent");
    line.add("backend", action.backend.str()).add("order", toString(action.order.kind)).add("model", action.order.model.model.str());
    line.add("code", toString(outcome ? error_code::none : outcome.error().code));
    host::log(host::log_level::info, line);
}

std::string view_host::metrics() const
{
    const auto value = [](const char *name, std::uint64_t number) {
        return std::string(name) + " " + std::to_string(number) + "\n";
    };
    return value("mustardtrail_view_bytes_sent_total", m_bytesSent) + value("mustardtrail_view_bytes_received_total", m_bytesReceived)
        + value("mustardtrail_view_config_reads_total", m_configReads) + value("mustardtrail_view_orders_total", m_ordersSent)
        + value("mustardtrail_view_revision", static_cast<std::uint64_t>(m_view->config ? m_view->config->revision : 0));
}

asio::awaitable<void> view_host::serve(http::exchange &exchange)
{
    const http::request_message &request = exchange.request();
    const std::string path(request.path());
    if (path == "/rpc" && request.method == "POST") {
        co_await exchange.respond(http::makeResponse(http::statusOk, m_rpc.handle(*request.body), "application/json"));
    } else if (path == "/dump") {
        json::object dump = m_core.dump(m_clock.now());
        dump["orders"] = m_orders.dump(m_clock.now());
        co_await exchange.respond(http::makeResponse(http::statusOk, json::serialize(dump), "application/json"));
    } else if (path == "/metrics") {
        co_await exchange.respond(http::makeResponse(http::statusOk, metrics(), "text/plain; version=0.0.4"));
    } else if (path == host::partitionPath && request.method == "POST") {
        co_await exchange.respond(host::applyPartition(m_client, *request.body));
    } else if (path == "/healthz" || path == "/readyz") {
        co_await exchange.respond(http::makeResponse(http::statusOk, "ok\n", "text/plain"));
    } else {
        co_await exchange.respond(http::makeResponse(http::statusNotFound, "not_found\n", "text/plain"));
    }
}

} // namespace mustardtrail::view
