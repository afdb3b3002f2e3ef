#include "programs/ctl/internal/run_ctl.h"

#include "programs/ctl/tests/example_files.h"

#include <sstream>

#include <boost/json/parse.hpp>

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::ctl;

namespace
{

int exitOf(const std::vector<std::string> &arguments)
{
    return runExample(arguments).exit;
}

} // namespace

Test(ctl, exitCodes)
{
    testing::expectEqual(exitOf({ "check", "now.json" }), 0);
    testing::expectEqual(exitOf({ "check", "wrong.json" }), 1);
    testing::expectEqual(exitOf({ "check", "no-such-file.json" }), 3);
    testing::expectEqual(exitOf({ "preview", "now.json", "new-target.json" }), 0);
    testing::expectEqual(exitOf({ "preview", "now.json", "without-dc1.json" }), 1);
    testing::expectEqual(exitOf({ "preview", "now.json", "wrong.json" }), 1);
    testing::expectEqual(exitOf({ "preview", "no-such-file.json", "now.json" }), 3);
    testing::expectEqual(exitOf({ "codes" }), 0);
    testing::expectEqual(exitOf({ "explain", "MT-4001" }), 0);
    testing::expectEqual(exitOf({ "--help" }), 0);
}

Test(ctl, usageErrors)
{
    const std::vector<std::vector<std::string>> wrong{ {},
        { "check" },
        { "check", "a", "b" },
        { "publish", "now.json" },
        { "--language=fr", "codes" },
        { "--language", "codes" },
        { "--json=perhaps", "codes" },
        { "--weights=2", "codes" },
        { "-j", "codes" },
        { "explain", "MT-9999" },
        { "explain", "4001" } };
    for (const std::vector<std::string> &arguments : wrong) {
        const example_run run = runExample(arguments);
        testing::expectEqual(run.exit, 2);
        cr_assert(run.out.empty() && !run.err.empty());
    }
}

Test(ctl, printsJsonForPrograms)
{
    for (const std::vector<std::string> &arguments : std::vector<std::vector<std::string>>{ { "--json", "check", "now.json" },
             { "check", "wrong.json", "--json" },
             { "--json", "preview", "now.json", "without-dc1.json" },
             { "--json", "codes" },
             { "--json", "explain", "MT-2005" } }) {
        boost::json::error_code failure;
        boost::json::parse(runExample(arguments).out, failure);
        cr_assert_not(failure.failed());
    }
}

Test(ctl, speaksBothLanguages)
{
    cr_assert(runExample({ "--help" }).out.find("exit codes") != std::string::npos);
    cr_assert(runExample({ "--help", "--language=es" }).out.find("códigos de salida") != std::string::npos);
    cr_assert(runExample({ "explain", "MT-4001", "--language=es" }).out.find("qué hacer") != std::string::npos);
    cr_assert(runExample({ "check", "no-such-file.json", "--language=es" }).err.find("no se puede leer") != std::string::npos);
}

Test(ctl, addsSubcommandsFromOneTable)
{
    const subcommand extra{ "dump",
        "ADDRESS",
        1,
        "help_codes",
        [](const std::vector<std::string> &arguments, const command_context &context) {
            context.out << arguments[0];
            return exit_code::ok;
        } };
    std::ostringstream out;
    cr_assert(runCtl({ extra }, { "dump", "127.0.0.1:1" }, { out, out, {} }) == exit_code::ok);
    testing::expectEqual(out.str(), "127.0.0.1:1");
}
