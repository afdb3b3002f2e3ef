#pragma once

#include "config/language.h"

#include <map>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace mustardtrail::ctl
{

/// Command line of the program, checked.
struct command_line {
    bool help = false;
    bool json = false;
    config::language language = config::language::english;
    std::map<std::string, std::string> options; ///< Of a subcommand, by name.
    std::vector<std::string> words; ///< Subcommand and its arguments.
};

/// Reads the arguments after the program's name; on failure gives the argument that is not understood.
tl::expected<command_line, std::string> readCommandLine(const std::vector<std::string> &arguments);

} // namespace mustardtrail::ctl
