#pragma once

#include "http/server.h"

#include <boost/asio/io_context.hpp>

namespace mustardtrail::standin
{

/// Serves the two ports of a stand-in on one thread until SIGTERM or SIGINT.
void serveUntilSignal(
    boost::asio::io_context &context, const endpoint &listen, http::handler serve, const endpoint &control, http::handler serveControl);

} // namespace mustardtrail::standin
