#pragma once

#include "programs/ctl/internal/subcommand.h"

#include <string>
#include <vector>

namespace mustardtrail::ctl
{

/// Files and streams of the host.
struct ctl_host {
    std::ostream &out;
    std::ostream &err;
    std::function<std::optional<std::string>(const std::string &path)> readFile;
    std::function<std::optional<std::string>(const std::string &address)> readDump{}; ///< GET /dump of a process.
    std::function<std::optional<fetched_answer>(const std::string &address, const std::string &target)> fetch{}; ///< GET of a target.
};

/// Runs the program with the arguments after its name and one table of subcommands.
exit_code runCtl(const std::vector<subcommand> &commands, const std::vector<std::string> &arguments, const ctl_host &host);

/// Subcommands of the program.
const std::vector<subcommand> &subcommands();

} // namespace mustardtrail::ctl
