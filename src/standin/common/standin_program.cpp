#include "standin/common/standin_program.h"

#include "standin/common/standin_host.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::string, settings, "", "settings file (INI)");

namespace mustardtrail::standin
{

namespace
{
constexpr int exitSettings = 2;
constexpr int exitListen = 3;
} // namespace

settings::settings_values readProgramSettings(int argc, char **argv, const char *usage, const std::vector<settings::setting_rule> &rules)
{
    absl::SetProgramUsageMessage(usage);
    absl::ParseCommandLine(argc, argv);
    auto read = settings::readSettingsFile(absl::GetFlag(FLAGS_settings), rules);
    if (read) {
        return std::move(*read);
    }
    for (const settings::settings_problem &problem : read.error()) {
        std::fprintf(stderr, "%s\n", toString(problem).c_str());
    }
    std::exit(exitSettings);
}

namespace
{

void listenOrExit(http::server &server, const endpoint &address)
{
    const auto bound = server.listen(address);
    if (!bound) {
        std::fprintf(stderr, "%s\n", bound.error().detail.c_str());
        std::exit(exitListen);
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
