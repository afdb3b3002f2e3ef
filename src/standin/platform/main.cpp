#include "base/json_access.h"
#include "host/program_settings.h"
#include "standin/common/standin_host.h"
#include "standin/common/standin_program.h"
#include "standin/platform/platform_model.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>
#include <charconv>

using namespace mustardtrail;
using namespace mustardtrail::standin;
using settings::setting_kind;
namespace json = boost::json;
namespace asio = boost::asio;

namespace
{

const std::vector<settings::setting_rule> rules{
    { .key = "platform.listen", .kind = setting_kind::address, .required = true },
    { .key = "platform.control", .kind = setting_kind::address, .required = true },
    { .key = "platform.live_lag", .kind = setting_kind::duration, .fallback = "1s" },
    { .key = "platform.reads_per_second", .kind = setting_kind::count, .fallback = "2000", .least = 1 },
};

constexpr std::chrono::milliseconds longestWait{ 30'000 };
constexpr std::chrono::milliseconds slowDelay{ 5'000 };
constexpr std::chrono::milliseconds watchInterval{ 10 };

std::int64_t numberFrom(const std::string &text)
{
    std::int64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

http::response_message textAnswer(std::string text)
{
    http::response_message answer;
    answer.body = std::move(text);
    return answer;
}

/// Serves the platform's protocol of docs/STAND-INS.md on one thread.
class platform_routes
{
public:
    explicit platform_routes(const settings::settings_values &values)
    {
        m_model.liveLag = values.duration("platform.live_lag");
        m_model.readsPerSecond = values.number("platform.reads_per_second");
    }

    asio::awaitable<void> serve(http::exchange &exchange)
    {
        const std::string path(exchange.request().path());
        if (path == "/v1/config") {
            co_await serveConfig(exchange);
        } else if (path == "/v1/live" && !m_model.liveIsDown) {
            co_await exchange.respond(jsonAnswer(200, m_model.liveAnswer(m_clock.now())));
        } else if (path.starts_with("/v1/weights/")) {
            co_await serveWeights(exchange);
        } else {
            co_await exchange.respond(jsonAnswer(path == "/v1/live" ? 503 : 404, json::object()));
        }
    }

    asio::awaitable<void> serveControl(http::exchange &exchange)
    {
        if (exchange.request().method == "POST") {
            apply(jsonBody(exchange.request()));
        }
        co_await exchange.respond(jsonAnswer(200, m_model.counters()));
    }

private:
    using mode = platform_model::config_mode;

    asio::awaitable<void> serveConfig(http::exchange &exchange)
    {
        if (!m_model.countRead(m_clock.now())) {
            co_await exchange.respond(jsonAnswer(429, json::object()));
            co_return;
        }
        const std::int64_t after = numberFrom(exchange.request().query("after"));
        const std::chrono::milliseconds wait(numberFrom(exchange.request().query("wait_ms")));
        const auto end = m_clock.now() + (m_model.mode == mode::slow ? slowDelay : std::min(wait, longestWait));
        ++m_model.openWatches;
        while (m_model.mode != mode::down && m_clock.now() < end && (m_model.mode == mode::slow || !m_model.hasChangeAfter(after))) {
            co_await lookAgain(exchange.executor(), end);
        }
        --m_model.openWatches;
        if (m_model.mode == mode::down) {
            co_await exchange.respond(jsonAnswer(503, json::object()));
            co_return;
        }
        co_await exchange.respond(textAnswer(m_model.configText(after)));
    }

    asio::awaitable<void> lookAgain(asio::any_io_executor executor, time_point end)
    {
        asio::steady_timer pause(executor, std::min<std::chrono::nanoseconds>(end - m_clock.now(), watchInterval));
        boost::system::error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> serveWeights(http::exchange &exchange)
    {
        const std::int64_t bytes = numberFrom(exchange.request().query("bytes"));
        const bool taken = m_model.takeWeights(bytes, m_clock.now());
        co_await exchange.respond(jsonAnswer(taken ? 200 : 429, json::object()));
    }

    void apply(const json::object &change)
    {
        if (const json::object *set = json_access::objectAt(change, "set")) {
            m_model.set(json_access::textOr(*set, "key"), set->contains("value") ? set->at("value") : json::value(nullptr));
        }
        if (const json::object *live = json_access::objectAt(change, "live")) {
            m_model.setLive(json_access::textOr(*live, "id"), *live, m_clock.now());
        }
        if (const std::string id = json_access::textOr(change, "live_remove"); !id.empty()) {
            m_model.removeLive(id, m_clock.now());
        }
        m_model.setMode(json_access::textOr(change, "config_mode"));
        m_model.liveIsDown = json_access::textOr(change, "live_mode", m_model.liveIsDown ? "down" : "up") == "down";
        m_model.liveLag = std::chrono::milliseconds(json_access::numberOr(change, "lag_ms", m_model.liveLag.count()));
        m_model.weightBytesPerSecond = json_access::numberOr(change, "weight_bytes_per_second", m_model.weightBytesPerSecond);
    }

    system_monotonic_clock m_clock;
    platform_model m_model;
};

} // namespace

int main(int argc, char **argv)
{
    const auto values = host::readProgramSettings(argc, argv, "Stand-in for the platform.", rules);
    asio::io_context context(1);
    platform_routes routes(values);
    serveUntilSignal(context, values.address("platform.listen"), values.address("platform.control"), routes);
    return 0;
}
