#pragma once

#include "http/server.h"
#include "settings/settings_reader.h"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace mustardtrail::standin
{

/// Reads --settings FILE and checks it; prints the problems and exits on a fault.
settings::settings_values readProgramSettings(int argc, char **argv, const char *usage, const std::vector<settings::setting_rule> &rules);

/// Serves the two ports of a stand-in on one thread until SIGTERM or SIGINT.
void serveUntilSignal(
    boost::asio::io_context &context, const endpoint &listen, http::handler serve, const endpoint &control, http::handler serveControl);

} // namespace mustardtrail::standin
