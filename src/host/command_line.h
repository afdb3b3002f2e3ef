#pragma once

#include <vector>

namespace mustardtrail::host
{

/// Parses the flags of the program; a flag's name may be written with hyphens or underscores.
/// Ends the process on an unknown flag. Returns the arguments that are no flags, the program's name first.
std::vector<char *> parseCommandLine(int argc, char **argv);

} // namespace mustardtrail::host
