#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace mustardtrail::group::testing
{

/// One line of a session's script: "> 120ms submit a1 entry=e1 prompt=2500".
struct session_input {
    std::chrono::milliseconds at{ 0 };
    std::string verb;
    std::string subject;
    std::map<std::string, std::string> values;

    std::string text(const std::string &key) const;
    std::int64_t number(const std::string &key, std::int64_t otherwise = 0) const;
};

/// Runs a whole script; gives the trace of what came out.
using session_runner = std::function<std::string(const std::vector<session_input> &)>;

/// Runs the script of a golden file and compares the trace byte for byte.
/// With MT_REGENERATE_GOLDEN=1 the trace is written to the file instead.
void replayGolden(const std::string &path, const session_runner &run);

} // namespace mustardtrail::group::testing
