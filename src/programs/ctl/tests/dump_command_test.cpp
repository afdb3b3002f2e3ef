#include "programs/ctl/internal/run_ctl.h"
#include "programs/ctl/internal/subcommands.h"

#include "testing/expect.h"

#include <sstream>

using namespace mustardtrail::ctl;
using mustardtrail::testing::expectEqual;

namespace
{

std::optional<std::string> fakeDump(const std::string &address)
{
    if (address != "127.0.0.1:1") {
        return std::nullopt;
    }
    return R"({"instance":"e1","revision":7,"origin":{},"view":{"peers":[{"id":"e2","data_centre":"dc2","state":1}],)"
           R"("backends":[{"id":"g1","owner":"e1","accepts":true},{"id":"g2","owner":"e2","accepts":false}]}})";
}

} // namespace

Test(dump_command, showsStateInstancesAndBackendServers)
{
    std::ostringstream out;
    cr_assert(runCtl(subcommands(), { "dump", "127.0.0.1:1" }, { out, out, {}, fakeDump }) == exit_code::ok);
    expectEqual(out.str(),
        "state     value\n"
        "instance  e1\n"
        "revision  7\n"
        "\n"
        "entry instance  data centre  state\n"
        "e2              dc2          suspect\n"
        "\n"
        "backend server  owner  new work\n"
        "g1              e1     +\n"
        "g2              e2     -\n");
}

Test(dump_command, saysThatAProcessDoesNotAnswer)
{
    std::ostringstream out;
    cr_assert(runCtl(subcommands(), { "dump", "127.0.0.1:2" }, { out, out, {}, fakeDump }) == exit_code::unreadable);
    expectEqual(out.str(), "! 127.0.0.1:2\n");
}
