#include "base/json_access.h"
#include "host/program_settings.h"
#include "standin/common/standin_host.h"
#include "standin/common/standin_program.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json/array.hpp>

#include <map>

using namespace mustardtrail;
using namespace mustardtrail::standin;
using settings::setting_kind;
namespace json = boost::json;
namespace asio = boost::asio;

namespace
{

const std::vector<settings::setting_rule> rules{
    { .key = "service.listen", .kind = setting_kind::address, .required = true },
    { .key = "service.control", .kind = setting_kind::address, .required = true },
};

/// Plain service whose every call is an effect that can be counted.
class service_routes
{
public:
    asio::awaitable<void> serve(http::exchange &exchange)
    {
        const http::request_message &request = exchange.request();
        if (request.path() == "/effects") {
            co_await exchange.respond(jsonAnswer(200, effects()));
            co_return;
        }
        if (m_refusing) {
            co_await exchange.respond(refused());
            co_return;
        }
        if (m_dropBeforeRun > 0) {
            --m_dropBeforeRun;
            co_return;
        }
        json::object answer = run(request);
        if (m_dropAfterRun > 0) {
            --m_dropAfterRun;
            co_return;
        }
        asio::steady_timer delay(exchange.executor(), m_delay);
        boost::system::error_code ignored;
        co_await delay.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
        co_await exchange.respond(jsonAnswer(200, answer));
    }

    asio::awaitable<void> serveControl(http::exchange &exchange)
    {
        const json::object change = jsonBody(exchange.request());
        m_dropBeforeRun = json_access::numberOr(change, "drop_before_run", m_dropBeforeRun);
        m_dropAfterRun = json_access::numberOr(change, "drop_after_run", m_dropAfterRun);
        m_delay = std::chrono::milliseconds(json_access::numberOr(change, "delay_ms", m_delay.count()));
        m_refusing = json_access::boolOr(change, "refuse", m_refusing);
        co_await exchange.respond(jsonAnswer(200, effects()));
    }

private:
    json::object run(const http::request_message &request)
    {
        const std::string key(request.headers.find("Idempotency-Key"));
        const std::int64_t count = ++m_effects[key];
        const std::string path(request.path());
        const size_t nameEnd = path.find('/', 9);
        return { { "service", path.substr(std::min<size_t>(9, path.size()), nameEnd - 9) },
            { "path", path },
            { "method", request.method },
            { "count", count },
            { "key", key } };
    }

    json::object effects() const
    {
        json::array list;
        for (const auto &[key, count] : m_effects) {
            list.push_back(json::object{ { "key", key }, { "count", count } });
        }
        return { { "effects", std::move(list) } };
    }

    static http::response_message refused()
    {
        return jsonAnswer(
            503, { { "error", { { "message", "refusing" }, { "code", "refusing" } } }, { "started", false }, { "retry_after_ms", 500 } });
    }

    std::map<std::string, std::int64_t> m_effects;
    std::int64_t m_dropBeforeRun = 0;
    std::int64_t m_dropAfterRun = 0;
    std::chrono::milliseconds m_delay{ 1 };
    bool m_refusing = false;
};

} // namespace

int main(int argc, char **argv)
{
    const auto values = host::readProgramSettings(argc, argv, "Stand-in for a plain service.", rules);
    asio::io_context context(1);
    service_routes routes;
    serveUntilSignal(context, values.address("service.listen"), values.address("service.control"), routes);
    return 0;
}
