#pragma once

#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::ctl
{

struct example_run {
    int exit = 0;
    std::string out;
    std::string err;
};

/// Runs the program over the example files of the operators' page.
example_run runExample(const std::vector<std::string> &arguments);

/// Reads a file below docs/operating.
std::optional<std::string> readOperatingFile(const std::string &name);

} // namespace mustardtrail::ctl
