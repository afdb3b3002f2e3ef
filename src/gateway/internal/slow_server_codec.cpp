#include "gateway/internal/slow_server_codec.h"

#include "load_report.pb.h"

#include <algorithm>
#include <cmath>

namespace mustardtrail::gateway
{

namespace
{

constexpr double percent = 100.0;

} // namespace

void writeSlowServers(const std::vector<slow_server_news> &news, time_point now, wire::Report &target)
{
    for (const slow_server_news &each : news) {
        wire::SlowServer &entry = *target.add_slow_servers();
        entry.set_server_start(each.server);
        entry.set_slowness_percent(static_cast<std::uint32_t>(std::lround(each.slowness * percent)));
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - each.heardAt);
        entry.set_heard_ms_ago(static_cast<std::uint32_t>(std::max<std::int64_t>(age.count(), 0)));
    }
}

std::vector<slow_server_news> readSlowServers(const wire::Report &source, time_point now)
{
    std::vector<slow_server_news> news;
    for (const wire::SlowServer &each : source.slow_servers()) {
        const double slowness = static_cast<double>(each.slowness_percent()) / percent;
        news.push_back({ each.server_start(), slowness, now - std::chrono::milliseconds(each.heard_ms_ago()) });
    }
    return news;
}

} // namespace mustardtrail::gateway
