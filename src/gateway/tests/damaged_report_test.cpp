#include "gateway/fleet_state.h"
#include "gateway/load_report.h"
#include "gateway/report_exchange.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

#include <limits>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr peer_address peer = 2;
constexpr server_start_key limited = 7;
constexpr double notANumber = std::numeric_limits<double>::quiet_NaN();
constexpr double infinite = std::numeric_limits<double>::infinity();

load_report reportWith(std::vector<rate_limit_news> news)
{
    load_report report;
    report.sender = instance_id("two");
    report.address = peer;
    report.sequence = 9;
    report.suspectedServers = { 44 };
    report.rateLimits = std::move(news);
    return report;
}

} // namespace

// Guards against an instance that is taken for gone, with all its work, because of one figure.
Test(damaged_report, anImpossibleRateLimitCostsOnlyItself)
{
    for (const double damaged : { notANumber, infinite, -infinite, -1.0, 1e300, 1e-300 }) {
        const auto report
            = decodeLoadReport(encodeLoadReport(reportWith({ { 6, damaged, at(0), {} }, { limited, 2.0, at(0), {} } }), at(0)), at(0));
        cr_assert(report.has_value(), "%g", damaged);
        expectEqual(report->suspectedServers.size(), 1U);
        std::vector<std::string> lines;
        fleet_state state(
            1, data_centre_id("dc1"), fleet_limits(), [&lines](std::string_view event, std::string_view subject, std::string_view detail) {
                lines.push_back(std::string(event) + " " + std::string(subject) + " " + std::string(detail));
            });
        state.recordRateLimits(report->address, report->rateLimits);
        cr_assert(state.rateLimits.nextSendAt(limited, 1, at(0)).has_value());
        cr_assert_not(state.rateLimits.nextSendAt(6, 1, at(0)).has_value());
        expectEqual(lines.back(), "rate_limits_ignored 2 entries=1");
    }
}
