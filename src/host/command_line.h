#pragma once

#include <string>
#include <vector>

namespace mustardtrail::host
{

/// Parses the command-line flags; a flag's name may be written with hyphens or underscores.
/// Exits the process on an unknown flag, and after printing `helpText()` on `--help`. Returns the program name and the positional
/// arguments.
std::vector<char *> parseCommandLine(int argc, char **argv);

/// The program's usage message, and each flag of the program with its description and default, in the order of their names.
std::string helpText();

} // namespace mustardtrail::host
