#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardtrail::placement::tests
{

/// One input line of a script: a time in milliseconds, a verb and key=value pairs.
struct script_line {
    std::chrono::milliseconds at{ 0 };
    std::string verb;
    std::map<std::string, std::string> values;

    std::string text(const std::string &key, const std::string &fallback = "") const;
    std::int64_t number(const std::string &key, std::int64_t fallback) const;
    std::chrono::milliseconds time(const std::string &key, std::chrono::milliseconds fallback) const;
    std::vector<std::string> list(const std::string &key) const;
};

script_line readScriptLine(const std::string &text);
std::vector<std::string> split(const std::string &text, char separator);

} // namespace mustardtrail::placement::tests
