#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>

namespace mustardtrail::standin
{

/// Serves the two ports of a stand-in on one thread until SIGTERM or SIGINT.
void serveUntilSignal(
    boost::asio::io_context &context, const endpoint &listen, http::handler serve, const endpoint &control, http::handler serveControl);

/// The same for an object with serve() and serveControl().
template<typename routes>
void serveUntilSignal(boost::asio::io_context &context, const endpoint &listen, const endpoint &control, routes &served)
{
    const auto serve = [&](http::exchange &exchange) {
        return served.serve(exchange);
    };
    const auto serveControl = [&](http::exchange &exchange) {
        return served.serveControl(exchange);
    };
    serveUntilSignal(context, listen, serve, control, serveControl);
}

} // namespace mustardtrail::standin
