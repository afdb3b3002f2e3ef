#include "fuzz/fuzz_target.h"
#include "platform/configuration.h"
#include "platform/engine_report.h"
#include "platform/published_changes.h"
#include "platform/server_entry.h"
#include "platform/store_reply.h"

#include <cmath>

namespace mustardtrail::fuzz
{

namespace
{

constexpr std::string_view storeMark = "store ";
constexpr std::string_view entryMark = "entry ";
constexpr std::string_view configMark = "config ";
constexpr std::string_view reportMark = "report ";

bool isWithinADay(std::chrono::milliseconds time)
{
    return time.count() >= 0 && time <= std::chrono::hours(24);
}

std::vector<error_code> readEntry(const std::string &text)
{
    const auto server = platform::readServerEntry("servers/i-1", text);
    if (!server) {
        return { server.error().code };
    }
    require(server->slots >= 1 && server->slots <= 65'536 && isWithinADay(server->coldLeft));
    require(server->address.port != 0 && !server->service.empty() && !server->dataCentre.empty());
    return {};
}

void checkEngine(const gateway::engine_profile &engine)
{
    require(engine.slots >= 1 && engine.memoryTokens >= 0 && engine.tokenStepsPerBatchStep >= 1);
    for (const double number : { engine.prefillTokensPerMs,
             engine.attentionMsPerMillionPairs,
             engine.tokenStepMs,
             engine.tokenStepMsPerDecode,
             engine.tokenStepMsPerThousandContextTokens }) {
        require(std::isfinite(number) && number >= 0.0);
    }
    require(engine.prefillTokensPerMs > 0.0);
}

std::vector<error_code> readConfig(const std::string &text)
{
    const auto config = platform::readConfiguration(text);
    if (!config) {
        return { config.error().code };
    }
    for (const gateway::route &route : config->routes) {
        require(!route.services.empty() && route.maxServers >= 1 && route.priority >= 0 && route.priority <= 9);
        require(isWithinADay(route.timeout) && isWithinADay(route.latencyTarget) && isWithinADay(route.eventGapTarget));
    }
    for (const auto &[name, service] : config->services) {
        require(std::isfinite(service.coldRequestsPerSecond) && service.coldRequestsPerSecond >= 0.0);
        if (service.engine) {
            checkEngine(*service.engine);
        }
    }
    return {};
}

std::vector<error_code> readStore(const std::string &text)
{
    std::vector<error_code> codes;
    for (const auto &reply : { platform::readListReply(text), platform::readWatchReply(text) }) {
        if (!reply) {
            codes.push_back(reply.error().code);
            continue;
        }
        require(!reply->hasMore || !reply->changes.empty());
        for (const platform::store_change &change : reply->changes) {
            require(!change.key.empty() && (!change.isDamaged || change.value.empty()));
            platform::readPublishedChange(change);
        }
        return {};
    }
    return codes;
}

std::vector<error_code> readReport(const std::string &text)
{
    http::response_message report;
    report.status = 200;
    report.body = text;
    const auto pace = platform::readPace(report);
    const bool isReadable = platform::readMemoryUse(report, "t81") != gateway::memory_use::unknown || pace.has_value();
    return isReadable ? std::vector<error_code>() : std::vector{ error_code::peer_message_invalid };
}

} // namespace

/// The bytes begin with what they are: `store`, `entry`, `config` or `report`; all others are read as each.
std::vector<error_code> readAnyBytes(std::string_view bytes)
{
    using reader = std::vector<error_code> (*)(const std::string &);
    const std::vector<std::pair<std::string_view, reader>> readers{
        { storeMark, readStore }, { entryMark, readEntry }, { configMark, readConfig }, { reportMark, readReport }
    };
    std::vector<error_code> codes;
    for (const auto &[mark, read] : readers) {
        if (bytes.starts_with(mark)) {
            return read(std::string(bytes.substr(mark.size())));
        }
        const auto more = read(std::string(bytes));
        codes.insert(codes.end(), more.begin(), more.end());
    }
    return codes;
}

} // namespace mustardtrail::fuzz
