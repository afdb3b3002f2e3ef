#include "base/rcu_cell.h"
#include "host/log.h"
#include "host/partition_control.h"
#include "host/program_settings.h"
#include "programs/entry/admin_routes.h"
#include "programs/entry/caller_error.h"
#include "programs/entry/caller_routes.h"
#include "programs/entry/peer_routes.h"
#include "programs/entry/planned_stop.h"

#include <boost/asio/io_context.hpp>

#include <cstdlib>
#include <thread>

using namespace mustardtrail;
using namespace mustardtrail::entry;

namespace
{

void listenOrExit(http::server &server, const endpoint &address)
{
    const auto bound = server.listen(address);
    if (bound) {
        return;
    }
    host::log(
        host::log_level::warning, log_line("listen_failed").add("code", toString(bound.error().code)).add("detail", bound.error().detail));
    std::exit(host::exit_listen);
}

std::uint64_t startedAtMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(now).count());
}

} // namespace

int main(int argc, char **argv)
{
    const auto values
        = host::readProgramSettings(argc, argv, "Serves callers: admission, placement, dispatch, streams, retries.", entryRules());
    entry_settings settings = entrySettingsFrom(values);
    host::openProgramLog(values, "mustardtrail-entry");
    settings.cuts = host::simulatedPartitionsFrom(values, settings.admin);
    boost::asio::io_context context(settings.threads);
    entry_metrics metrics;
    entry_host host(context, settings, metrics);
    caller_routes callers(host, metrics, startedAtMilliseconds());
    peer_routes peers(host);
    admin_routes admin(host, metrics);
    http::server callerServer(
        context.get_executor(),
        settings.limits,
        [&](http::exchange &exchange) {
            return callers.serve(exchange);
        },
        badRequestAnswer);
    http::server peerServer(
        context.get_executor(),
        settings.limits,
        [&](http::exchange &exchange) {
            return peers.serve(exchange);
        },
        badRequestAnswer);
    http::server adminServer(
        context.get_executor(),
        {},
        [&](http::exchange &exchange) {
            return admin.serve(exchange);
        },
        badRequestAnswer);
    listenOrExit(callerServer, settings.callers);
    listenOrExit(peerServer, settings.peers);
    listenOrExit(adminServer, settings.admin);
    host.start();
    planned_stop stop(context, host, callerServer, peerServer);
    stop.arm();
    host::log(
        host::log_level::info, log_line("started").add("instance", settings.node.self.str()).add("callers", toString(settings.callers)));
    std::vector<std::thread> threads;
    for (int index = 0; index < settings.threads; ++index) {
        threads.emplace_back([&context] {
            const rcu_thread registration;
            context.run();
        });
    }
    for (std::thread &thread : threads) {
        thread.join();
    }
    host::log(host::log_level::info, log_line("stopped").add("instance", settings.node.self.str()));
    return host::exit_ok;
}
