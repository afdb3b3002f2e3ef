#include "host/program_settings.h"
#include "settings/settings_reader.h"
#include "standin/common/standin_host.h"
#include "standin/common/standin_program.h"
#include "standin/engine/engine_routes.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <sstream>

using namespace mustardtrail;
using namespace mustardtrail::standin;
using settings::setting_kind;

namespace
{

const std::vector<settings::setting_rule> rules{
    { .key = "engine.listen", .kind = setting_kind::address, .required = true },
    { .key = "engine.control", .kind = setting_kind::address, .required = true },
    { .key = "engine.models", .kind = setting_kind::text, .required = true },
    { .key = "engine.model_version", .kind = setting_kind::text, .fallback = "1" },
    { .key = "engine.memory_tokens", .kind = setting_kind::count, .fallback = "300000", .least = 1 },
    { .key = "engine.prefill_tokens_per_second", .kind = setting_kind::count, .fallback = "400000", .least = 1 },
    { .key = "engine.decode_tokens_per_second", .kind = setting_kind::count, .fallback = "100", .least = 1 },
    { .key = "engine.cold_requests", .kind = setting_kind::count, .fallback = "2", .least = 1 },
    { .key = "engine.warm_after", .kind = setting_kind::count, .fallback = "4", .least = 0 },
    { .key = "engine.checks_fencing", .kind = setting_kind::choice, .fallback = "yes", .choices = { "yes", "no" } },
    { .key = "engine.report_lag", .kind = setting_kind::duration, .fallback = "200ms" },
};

engine_options optionsFrom(const settings::settings_values &values)
{
    engine_options options;
    options.memoryTokens = values.number("engine.memory_tokens");
    options.prefillTokensPerSecond = static_cast<double>(values.number("engine.prefill_tokens_per_second"));
    options.decodeTokensPerSecond = static_cast<double>(values.number("engine.decode_tokens_per_second"));
    options.coldRequests = static_cast<int>(values.number("engine.cold_requests"));
    options.warmAfter = static_cast<int>(values.number("engine.warm_after"));
    options.checksFencing = values.text("engine.checks_fencing") == "yes";
    options.reportLag = values.duration("engine.report_lag");
    options.modelVersion = values.text("engine.model_version");
    std::istringstream names(values.text("engine.models"));
    for (std::string name; std::getline(names, name, ',');) {
        options.models.push_back(name);
    }
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    const auto values = host::readProgramSettings(argc, argv, "Stand-in for a model engine.", rules);
    boost::asio::io_context context(1);
    const auto startedAt = std::chrono::system_clock::now().time_since_epoch();
    const auto incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(startedAt).count());
    engine_routes routes(context, optionsFrom(values), incarnation);
    boost::asio::co_spawn(context, routes.run(), boost::asio::detached);
    serveUntilSignal(context, values.address("engine.listen"), values.address("engine.control"), routes);
    return 0;
}
