#include "programs/gateway/tests/fake_platform.h"

#include "host/log.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <unistd.h>

#include <stdexcept>
#include <thread>

namespace mustardtrail::gateway::testing
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

const std::string loopback = "127.0.0.1";
// Instances share their ports and differ in their addresses.
constexpr std::uint16_t callerPort = 8001;
constexpr std::uint16_t readinessPort = 8002;
constexpr std::uint16_t peerPort = 8003;
constexpr std::uint16_t metricsPort = 8004;
constexpr milliseconds maxAnswerTime{ 15'000 }; ///< Longer than any route's time-out.

const std::string configText = R"({"version":1,"routes":[
 {"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"target_latency_ms":300,
  "service":"reading","max_attempts":2,"resumable":true,"target_gap_ms":250},
 {"name":"once","host":"h.example","path_prefix":"/once/","kind":"non_idempotent","timeout_ms":2000,"target_latency_ms":100,
  "service":"desk","max_attempts":2},
 {"name":"again","host":"h.example","path_prefix":"/again/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,
  "service":"desk","max_attempts":2},
 {"name":"thrice","host":"h.example","path_prefix":"/thrice/","kind":"idempotent","timeout_ms":2000,"target_latency_ms":100,
  "service":"desk","max_attempts":3},
 {"name":"queue","host":"h.example","path_prefix":"/queue/","kind":"streaming","timeout_ms":5000,"target_latency_ms":3000,
  "service":"batch","max_attempts":2,"resumable":true,"target_gap_ms":250}],
 "services":[{"name":"reading"},{"name":"desk"},
  {"name":"batch","engine":{"slots":4,"kv_cache_tokens":1000,"read_per_s":100000,"step_ms":1.0}}],"tenants":[{"name":"first","api_keys":["secret"]}]})";

http::response_message emptyAnswer(int status, int, std::string_view)
{
    http::response_message message;
    message.status = status;
    return message;
}

/// Loopback address of an instance; each process has its own, so its ports are free.
std::string addressOfInstance(unsigned instance)
{
    constexpr unsigned maxInstances = 2;
    constexpr unsigned processBits = 22; // Linux numbers processes below 2^22.
    constexpr unsigned firstNetwork = 0x7f'01'00'00; // 127.1.0.0
    static_assert(firstNetwork + (maxInstances << processBits) <= 0x7f'ff'ff'ff);
    const auto process = static_cast<unsigned>(::getpid());
    return asio::ip::make_address_v4(firstNetwork + (instance << processBits) + process).to_string();
}

} // namespace

fake_platform::fake_platform()
    : m_caller(m_context.get_executor())
{
    host::openLog(host::log_level::warning, "gateway_test");
    m_store = std::make_unique<http::server>(
        m_context.get_executor(),
        http::server_limits(),
        [this](http::exchange &exchange) {
            return serveStore(exchange);
        },
        emptyAnswer);
    m_storeAddress = *m_store->listen({ loopback, 0 });
}

// A request that still runs refers to the instance that it runs in.
fake_platform::~fake_platform()
{
    m_context.destroyHandlers();
}

bool fake_platform::isQuestion(const http::exchange &exchange)
{
    return exchange.request().path() == "/api/report";
}

endpoint fake_platform::addServer(const std::string &id, const std::string &service, backend serve)
{
    auto server = std::make_unique<http::server>(m_context.get_executor(), http::server_limits(), std::move(serve), emptyAnswer);
    const endpoint address = *server->listen({ loopback, 0 });
    m_servers.push_back(std::move(server));
    addServerAt(id, service, address);
    return address;
}

void fake_platform::blockAfter(milliseconds delay, milliseconds time)
{
    const auto timer = std::make_shared<asio::steady_timer>(m_context, delay);
    timer->async_wait([timer, time](boost::system::error_code) {
        std::this_thread::sleep_for(time);
    });
}

void fake_platform::addRawServer(
    const std::string &id, const std::string &service, http::testing::raw_server::script serve, http::testing::request_part readFirst)
{
    const auto serveRequest = [serve = std::move(serve)](http::testing::raw_connection &connection) -> asio::awaitable<void> {
        if (!connection.request().starts_with("GET /api/report ")) {
            co_await serve(connection);
        }
    };
    m_rawServers.push_back(std::make_unique<http::testing::raw_server>(m_context.get_executor(), serveRequest, readFirst));
    addServerAt(id, service, m_rawServers.back()->address());
}

std::unique_ptr<gateway_host> fake_platform::openHost(const platform::instance_settings &settings)
{
    auto host = std::make_unique<gateway_host>(m_context, settings, http::simulated_partitions::allowed);
    if (const auto opened = host->open(); !opened) {
        throw std::runtime_error(opened.error().detail);
    }
    host->start();
    return host;
}

platform::instance_settings fake_platform::settingsOf(const instance_id &instance, const std::string &address) const
{
    platform::instance_settings settings;
    settings.instance = instance;
    settings.dataCentre = data_centre_id("dc");
    settings.address = address;
    settings.callers = { address, callerPort };
    settings.readiness = { address, readinessPort };
    settings.peerPort = peerPort;
    settings.metricsPort = metricsPort;
    settings.store = m_storeAddress;
    settings.memoryMegabytes = m_memoryMegabytes;
    settings.isFirstStart = true;
    settings.stopGrace = m_stopGrace;
    settings.keyRevocationLimit = m_keyRevocationLimit;
    settings.stallTimeout = milliseconds(500);
    settings.unusedMemoryLimit = milliseconds(9'000);
    settings.freedMemoryLimit = milliseconds(4'000);
    settings.retryBudgetRatio = 0.2;
    settings.retryBudgetSlack = 100;
    settings.retryBudgetWindow = milliseconds(10'000);
    return settings;
}

void fake_platform::start()
{
    m_settings = settingsOf(instance_id("one"), addressOfInstance(0));
    m_callerAddress = m_settings.callers;
    m_host = openHost(m_settings);
    for (int attempt = 0; attempt < 200 && readiness() != 200; ++attempt) {
        runFor(milliseconds(20));
    }
}

void fake_platform::startSecondInstance()
{
    platform::instance_settings settings = settingsOf(instance_id("two"), addressOfInstance(1));
    settings.seeds = { { m_settings.address, m_settings.peerPort } };
    m_secondCallerAddress = settings.callers;
    m_secondHost = openHost(settings);
    runFor(milliseconds(1'000));
}

void fake_platform::cutFirstInstanceFromServers()
{
    if (!m_host->setPartitionedEndpoints(m_serverAddresses)) {
        throw std::logic_error("partitions are not allowed");
    }
}

void fake_platform::reconnectFirstInstance()
{
    m_host->setPartitionedEndpoints({});
}

const std::string &fake_platform::firstConfig()
{
    return configText;
}

raw_caller fake_platform::openCaller(std::string bytes)
{
    return { m_context.get_executor(), m_callerAddress, std::move(bytes) };
}

void fake_platform::stopFirstInstance()
{
    asio::co_spawn(m_context, m_host->stop(), asio::detached);
}

void fake_platform::stopSecondInstance()
{
    asio::co_spawn(m_context, m_secondHost->stop(), asio::detached);
}

void fake_platform::restartLoop()
{
    m_context.restart();
}

void fake_platform::setStopGrace(milliseconds grace)
{
    m_stopGrace = grace;
}

void fake_platform::setMemoryLimit(std::int64_t megabytes)
{
    m_memoryMegabytes = megabytes;
}

void fake_platform::setKeyRevocationLimit(milliseconds limit)
{
    m_keyRevocationLimit = limit;
}

void fake_platform::runFor(milliseconds time)
{
    m_context.run_for(time);
}

http::request_message fake_platform::requestOf(const std::string &path, const std::string &key, milliseconds timeLeft) const
{
    http::request_message message;
    message.method = "POST";
    message.target = path;
    message.headers = { { "Host", "h.example" }, { "Attempt-Id", "a1" }, { "Deadline-Ms", std::to_string(timeLeft.count()) } };
    if (!key.empty()) {
        message.headers.add("Authorization", "Token " + key);
    }
    message.body = std::make_shared<const std::string>("question");
    return message;
}

asio::awaitable<void> fake_platform::callGateway(http::request_message message, caller_answer &answer, milliseconds pause)
{
    const endpoint to = m_callerAddress;
    http::call_limits limits;
    limits.firstByte = limits.progress = maxAnswerTime;
    auto opened = co_await m_caller.open(to, std::move(message), limits);
    if (!opened) {
        co_return;
    }
    answer.status = (*opened)->status();
    answer.retryAfter = (*opened)->headers().find("Retry-After");
    answer.signature = (*opened)->headers().find("Response-Stamp");
    asio::steady_timer wait(m_context, pause);
    co_await wait.async_wait(asio::use_awaitable);
    while (true) {
        const auto bytes = co_await (*opened)->read();
        if (!bytes) {
            co_return;
        }
        if (bytes->empty()) {
            answer.isComplete = true;
            co_return;
        }
        answer.body += *bytes;
    }
}

caller_answer fake_platform::call(const std::string &path, const std::string &key, milliseconds timeLeft)
{
    return complete(requestOf(path, key, timeLeft));
}

caller_answer fake_platform::callWithBody(const std::string &path, std::string body)
{
    http::request_message message = requestOf(path, "secret", milliseconds(4'000));
    message.body = std::make_shared<const std::string>(std::move(body));
    return complete(std::move(message));
}

caller_answer fake_platform::callWithPrompt(const std::string &path, const std::string &parts)
{
    http::request_message message = requestOf(path, "secret", milliseconds(4'000));
    message.headers.add("Prompt-Prefix", parts);
    return complete(std::move(message));
}

caller_answer fake_platform::callWithTokens(const std::string &path, const std::string &tokens, milliseconds timeLeft)
{
    http::request_message message = requestOf(path, "secret", timeLeft);
    message.headers.add("Token-Counts", tokens);
    return complete(std::move(message));
}

caller_answer fake_platform::callBesideASlowCaller(const std::string &path, const std::string &slowCallersPath)
{
    caller_answer ignored;
    bool isDone = false;
    asio::co_spawn(m_context,
        callGateway(requestOf(slowCallersPath, "secret", milliseconds(1'000)), ignored, milliseconds(1'500)),
        [&isDone](std::exception_ptr) {
            isDone = true;
        });
    // The head comes once the instance has read the whole answer.
    for (int steps = 0; steps < 1'000 && ignored.status == 0; ++steps) {
        runFor(milliseconds(10));
    }
    caller_answer answer = call(path);
    for (int steps = 0; steps < 1'000 && !isDone; ++steps) {
        runFor(milliseconds(10));
    }
    return answer;
}

caller_answer fake_platform::complete(http::request_message message)
{
    caller_answer answer;
    bool isDone = false;
    asio::co_spawn(m_context, callGateway(std::move(message), answer, milliseconds(0)), [&isDone](std::exception_ptr) {
        isDone = true;
    });
    for (milliseconds waited{ 0 }; waited < maxAnswerTime && !isDone; waited += milliseconds(10)) {
        runFor(milliseconds(10));
    }
    return answer;
}

asio::any_io_executor fake_platform::executor()
{
    return m_context.get_executor();
}

void fake_platform::applyPolicy(const operator_policy &policy)
{
    m_host->applyPolicy(policy);
}

endpoint fake_platform::readinessAddress() const
{
    return m_settings.readiness;
}

int fake_platform::readiness()
{
    return get(m_settings.readiness, "/api/readyz").status;
}

std::string fake_platform::metrics()
{
    return ask("/metrics").body;
}

caller_answer fake_platform::ask(const std::string &target)
{
    return get({ m_settings.address, m_settings.metricsPort }, target);
}

caller_answer fake_platform::get(const endpoint &from, const std::string &target)
{
    caller_answer seen;
    bool isDone = false;
    asio::co_spawn(
        m_context,
        [](http::client &caller, endpoint address, std::string path, caller_answer &received) -> asio::awaitable<void> {
            http::request_message request;
            request.target = std::move(path);
            const http::call_limits limits;
            const auto answer = co_await caller.call(address, std::move(request), limits);
            if (answer) {
                received.status = answer->status;
                received.body = answer->body;
            }
        }(m_caller, from, target, seen),
        [&isDone](std::exception_ptr) {
            isDone = true;
        });
    for (int steps = 0; steps < 1'000 && !isDone; ++steps) {
        runFor(milliseconds(10));
    }
    return seen;
}

} // namespace mustardtrail::gateway::testing
