#include "host/command_line.h"

#include "testing/expect.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>

ABSL_FLAG(int, sample_limit, 250, "longest wait, in milliseconds");
ABSL_FLAG(std::string, sample_file, "", "file to read");

using namespace mustardtrail;
using mustardtrail::testing::expectEqual;

// Every program printed "No flags matched" for --help.
Test(command_line, helpNamesTheFlagsOfTheProgramWithTheirDefaults)
{
    absl::SetProgramUsageMessage("Does a thing.");
    const std::string expected = "Does a thing.\n\n"
                                 "Flags:\n"
                                 "  --sample-file  file to read\n"
                                 "  --sample-limit  longest wait, in milliseconds (default: 250)\n";
    expectEqual(host::helpText(), expected);
}
