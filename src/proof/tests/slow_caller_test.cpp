#include "base/json_access.h"
#include "proof/fleet/eventually.h"
#include "proof/tests/test_fleet.h"

#include "testing/expect.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

using namespace mustardtrail;
using namespace mustardtrail::proof;
using mustardtrail::testing::expectEqual;

namespace
{

std::int64_t failedRequests(const fleet_instance &instance)
{
    const boost::json::object dump = getJson(instance.admin, "/dump");
    const boost::json::object *origin = json_access::objectAt(dump, "origin");
    const boost::json::object *requests = origin != nullptr ? json_access::objectAt(*origin, "requests") : nullptr;
    const boost::json::object *counters = requests != nullptr ? json_access::objectAt(*requests, "counters") : nullptr;
    return counters != nullptr ? json_access::numberOr(*counters, "failed", -1) : -1;
}

} // namespace

// The answer is larger than all buffers on the way, so it cannot wait for the caller outside the engine.
Test(slow_caller, whoDoesNotReadIsGivenUpAndItsMemoryIsFreed)
{
    fleet_options options;
    options.enginesPerDataCentre = { 1, 1, 1 };
    options.engineMemory = 2'000'000;
    options.decodeTokensPerSecond = 1'000'000;
    options.progressLimit = "1s";
    const auto fleet = startedFleet(options);
    boost::asio::io_context context;
    boost::asio::ip::tcp::socket caller(context);
    const endpoint &to = fleet->instances[0].callers;
    caller.open(boost::asio::ip::tcp::v4());
    caller.set_option(boost::asio::socket_base::receive_buffer_size(4'096));
    caller.connect({ boost::asio::ip::make_address(to.address), to.port });
    const std::string body = R"({"model":"pay","prompt":"x","stream":true,"max_tokens":1000000})";
    const std::string head
        = "POST /v1/completions HTTP/1.1\r\nMustardtrail-Customer: hotel\r\nMustardtrail-Class: review\r\nContent-Length: ";
    boost::asio::write(caller, boost::asio::buffer(head + std::to_string(body.size()) + "\r\n\r\n" + body));
    cr_assert(eventually([&] {
        return failedRequests(fleet->instances[0]) == 1;
    }));
    cr_assert(eventually([&] {
        return allMemoryIsFree(*fleet);
    }));
}
