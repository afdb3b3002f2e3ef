#pragma once

#include <string>
#include <vector>

namespace mustardtrail::proof
{

/// How a program ended and what it wrote.
struct program_run {
    int exit = -1;
    std::string out;
    std::string err;
};

/// Runs a program of the test programs' folder, with its arguments in `words`, in a working folder until it ends.
program_run runProgram(const std::vector<std::string> &words, const std::string &workingFolder);

/// Words of a command line, split at spaces.
std::vector<std::string> wordsOf(const std::string &line);

} // namespace mustardtrail::proof
