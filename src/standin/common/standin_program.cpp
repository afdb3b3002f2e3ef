#include "standin/common/standin_program.h"

#include "host/program_settings.h"
#include "standin/common/standin_host.h"

#include <cstdio>
#include <cstdlib>

namespace mustardtrail::standin
{

namespace
{

void listenOrExit(http::server &server, const endpoint &address)
{
    const auto bound = server.listen(address);
    if (!bound) {
        std::fprintf(stderr, "%s\n", bound.error().detail.c_str());
        std::exit(host::exit_listen);
    }
}

} // namespace

void serveUntilSignal(
    boost::asio::io_context &context, const endpoint &listen, http::handler serve, const endpoint &control, http::handler serveControl)
{
    http::server server(context.get_executor(), {}, std::move(serve), refusedRequest);
    http::server controlServer(context.get_executor(), {}, std::move(serveControl), refusedRequest);
    listenOrExit(server, listen);
    listenOrExit(controlServer, control);
    runUntilSignal(context);
}

} // namespace mustardtrail::standin
