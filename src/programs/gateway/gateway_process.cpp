#include "programs/gateway/gateway_process.h"

#include "host/command_line.h"
#include "host/exit_code.h"
#include "host/log.h"
#include "programs/gateway/gateway_host.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

ABSL_FLAG(std::string, settings, "", "settings file of the platform; default: the file named by MUSTARDTRAIL_CONFIG");
ABSL_FLAG(bool, check_settings, false, "read the settings and the policy, print what is wrong, and exit");
ABSL_FLAG(std::string, policy, "", "INI file of the operator, read at the start and on SIGHUP; default: none");
ABSL_FLAG(std::string, log_level, "info", "least severe level that is logged: debug, info or warning");

using namespace mustardtrail;
using namespace mustardtrail::gateway;
namespace asio = boost::asio;

namespace
{

constexpr char usage[] = "Serves callers' requests of one instance on the users' platform.\n\n"
                         "Environment:\n"
                         "  MUSTARDTRAIL_CONFIG  settings file, used unless --settings names one\n\n"
                         "The settings' format is described in the platform's own pages, and read by platform/instance_settings.h.\n"
                         "The policy and the log are described in docs/OPERATIONS.md. Exit codes: 0 success, 1 bad command line,\n"
                         "2 settings or policy with problems, 3 an address could not be bound.";

std::string settingsPath()
{
    const std::string given = absl::GetFlag(FLAGS_settings);
    const char *fromPlatform = std::getenv("MUSTARDTRAIL_CONFIG");
    return !given.empty() ? given : fromPlatform ? fromPlatform : "";
}

result<platform::instance_settings> readSettings()
{
    std::ifstream file(settingsPath());
    std::ostringstream text;
    text << file.rdbuf();
    if (!file) {
        return tl::unexpected(error{ error_code::settings_unreadable, verdict::not_run, "file=" + settingsPath(), {} });
    }
    return platform::readInstanceSettings(text.str());
}

result<operator_policy> readPolicy()
{
    const std::string file = absl::GetFlag(FLAGS_policy);
    return file.empty() ? operator_policy{} : readPolicyFile(file);
}

host::log_level selectedLogLevel()
{
    const std::string name = absl::GetFlag(FLAGS_log_level);
    if (name == "debug") {
        return host::log_level::debug;
    }
    return name == "warning" ? host::log_level::warning : host::log_level::info;
}

int printError(const error &problem, host::exit_code code)
{
    std::cerr << "mustardtrail-gateway: " << toString(problem.code) << ' ' << problem.detail << '\n';
    return code;
}

class signal_handler
{
public:
    signal_handler(asio::io_context &context, gateway_host &host, asio::signal_set &signals)
        : m_context(context)
        , m_host(host)
        , m_signals(signals)
    {
        wait();
    }

private:
    void wait()
    {
        m_signals.async_wait([this](boost::system::error_code failure, int signal) {
            if (failure) {
                return;
            }
            onSignal(signal);
            wait();
        });
    }

    void onSignal(int signal)
    {
        if (signal != SIGHUP) {
            if (!m_isStopping) {
                asio::co_spawn(m_context, m_host.stop(), asio::detached);
            }
            m_isStopping = true;
            return;
        }
        const auto settings = readSettings();
        if (settings) {
            m_host.reload(*settings);
        } else {
            host::log(host::log_level::warning, log_line("settings_not_reloaded").add("detail", settings.error().detail));
        }
        if (const auto policy = readPolicy()) {
            m_host.applyPolicy(*policy);
        } else {
            host::log(host::log_level::warning, log_line("policy_not_reloaded").add("detail", policy.error().detail));
        }
    }

    asio::io_context &m_context;
    gateway_host &m_host;
    asio::signal_set &m_signals;
    bool m_isStopping = false;
};

} // namespace

int runGateway(int argc, char **argv)
{
    // Before the settings are read: a reload that main ignored is made up for by reading them.
    asio::io_context context(1);
    asio::signal_set handled(context, SIGTERM, SIGINT, SIGHUP);
    absl::SetProgramUsageMessage(usage);
    host::parseCommandLine(argc, argv);
    const auto settings = readSettings();
    if (!settings) {
        return printError(settings.error(), host::exit_settings);
    }
    const auto policy = readPolicy();
    if (!policy) {
        return printError(policy.error(), host::exit_settings);
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::cout << "settings are valid\n";
        return host::exit_ok;
    }
    std::signal(SIGPIPE, SIG_IGN);
    host::openLog(selectedLogLevel(), "mustardtrail-gateway");
    gateway_host host(context, *settings);
    host.applyPolicy(*policy);
    if (const auto opened = host.open(); !opened) {
        return printError(opened.error(), host::exit_listen);
    }
    host.start();
    const signal_handler signals(context, host, handled);
    host::log(
        host::log_level::info, log_line("started").add("instance", settings->instance.str()).add("callers", toString(settings->callers)));
    context.run();
    // Requests that still run have exceeded the stop grace period. Exits without destructors: their coroutine frames would be
    // destroyed after the host, which they refer to.
    std::cout.flush();
    std::_Exit(host::exit_ok);
}
