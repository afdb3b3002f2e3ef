#pragma once

#include "config/language.h"
#include "programs/ctl/internal/exit_code.h"
#include "programs/ctl/internal/fetched_answer.h"

#include <functional>
#include <map>
#include <optional>
#include <ostream>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace mustardtrail::ctl
{

/// What a subcommand may read and where it writes.
struct command_context {
    bool json = false;
    config::language language = config::language::english;
    std::ostream &out;
    std::ostream &err;
    std::function<std::optional<std::string>(const std::string &path)> readFile;
    std::function<std::optional<std::string>(const std::string &address)> readDump{};
    std::function<std::optional<fetched_answer>(const std::string &address, const std::string &target)> fetch{};
    std::map<std::string, std::string> options{}; ///< Of the subcommand, by name.
};

/// One subcommand of the program.
struct subcommand {
    std::string_view name;
    std::string_view arguments; ///< As shown in the help.
    size_t argumentCount = 0;
    std::string_view help; ///< Name of the word in the catalogue.
    exit_code (*run)(const std::vector<std::string> &arguments, const command_context &context) = nullptr;
    std::set<std::string> options{}; ///< Names of the options with a value that it takes.
};

} // namespace mustardtrail::ctl
