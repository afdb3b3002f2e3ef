#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <string>

namespace mustardtrail::group::testing
{

/// One line of a session's script: "> 120ms start a1 prompt=2500".
struct session_input {
    std::chrono::milliseconds at{ 0 };
    std::string verb;
    std::string subject;
    std::map<std::string, std::string> values;

    std::string text(const std::string &key, const std::string &otherwise = {}) const;
    std::int64_t number(const std::string &key, std::int64_t otherwise = 0) const;
};

/// Carries out an input; gives the lines that came out.
using session_step = std::function<std::string(const session_input &)>;

/// Replays the script lines of a golden file and compares the whole trace byte for byte.
/// With MT_REGENERATE_GOLDEN=1 the file is written anew instead.
void replayGolden(const std::string &path, const session_step &step);

} // namespace mustardtrail::group::testing
