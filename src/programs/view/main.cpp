#include "host/log.h"
#include "host/partition_control.h"
#include "host/program_settings.h"
#include "http/server.h"
#include "programs/view/view_host.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <csignal>

using namespace mustardtrail;
using namespace mustardtrail::view;
namespace asio = boost::asio;

namespace
{

constexpr std::chrono::milliseconds stopCheck{ 50 };
constexpr std::chrono::milliseconds leaveNews{ 1'000 }; ///< Time for the news of leaving to spread.

http::response_message badRequest(int status, int code, std::string_view detail)
{
    http::response_message message;
    message.status = status;
    message.body = toString(static_cast<error_code>(code)) + " " + std::string(detail) + "\n";
    return message;
}

// The entry of this instance finishes its requests on this snapshot, so the view leaves after it.
asio::awaitable<void> leave(asio::io_context &context, view_host &host, std::chrono::milliseconds limit)
{
    host.beginStop();
    asio::steady_timer timer(context);
    boost::system::error_code ignored;
    timer.expires_after(leaveNews);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!host.entryIsGone() && std::chrono::steady_clock::now() < end) {
        timer.expires_after(stopCheck);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    context.stop();
}

void listenOrExit(view_host &host, http::server &server, const endpoint &address)
{
    const auto opened = host.open();
    const auto bound = server.listen(address);
    if (opened && bound) {
        return;
    }
    const error &failure = opened ? bound.error() : opened.error();
    host::log(host::log_level::warning, log_line("listen_failed").add("code", toString(failure.code)).add("detail", failure.detail));
    std::exit(host::exit_listen);
}

} // namespace

int main(int argc, char **argv)
{
    const auto values
        = host::readProgramSettings(argc, argv, "Follows configuration, live list and peers; owns engines; sends orders.", viewRules());
    view_program_settings settings = viewSettingsFrom(values);
    host::openProgramLog(values, "mustardtrail-view");
    settings.cuts = host::simulatedPartitionsFrom(values, settings.listen);
    asio::io_context context(1);
    view_host host(context, settings);
    http::server server(
        context.get_executor(),
        {},
        [&](http::exchange &exchange) {
            return host.serve(exchange);
        },
        badRequest);
    listenOrExit(host, server, settings.listen);
    host.start();
    asio::signal_set signals(context, SIGTERM, SIGINT);
    bool stopping = false;
    const std::function<void()> waitForSignal = [&] {
        signals.async_wait([&](boost::system::error_code failure, int) {
            if (failure) {
                return;
            }
            host::log(host::log_level::info, log_line(stopping ? "stop_continues" : "stop_begins"));
            if (!stopping) {
                stopping = true;
                asio::co_spawn(context, leave(context, host, settings.stopLimit), asio::detached);
            }
            waitForSignal();
        });
    };
    waitForSignal();
    host::log(
        host::log_level::info, log_line("started").add("instance", settings.core.self.str()).add("listen", toString(settings.listen)));
    context.run();
    host::log(host::log_level::info, log_line("stopped").add("instance", settings.core.self.str()));
    return host::exit_ok;
}
