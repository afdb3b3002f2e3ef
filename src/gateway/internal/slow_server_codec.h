#pragma once

#include "base/clock.h"
#include "gateway/slow_server_news.h"

#include <vector>

namespace mustardtrail::gateway
{

namespace wire
{
class Report;
}

void writeSlowServers(const std::vector<slow_server_news> &news, time_point now, wire::Report &target);
/// Reads all entries; engine_speeds::merge skips those that cannot be used.
std::vector<slow_server_news> readSlowServers(const wire::Report &source, time_point now);

} // namespace mustardtrail::gateway
