#pragma once

#include <vector>

namespace mustardtrail::host
{

/// Parses the command-line flags; a flag's name may be written with hyphens or underscores.
/// Exits the process on an unknown flag. Returns the program name and the positional arguments.
std::vector<char *> parseCommandLine(int argc, char **argv);

} // namespace mustardtrail::host
