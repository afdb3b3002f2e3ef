#include "placement/tests/script_line.h"

#include <sstream>

namespace mustardtrail::placement::tests
{

std::string script_line::text(const std::string &key, const std::string &fallback) const
{
    const auto found = values.find(key);
    return found == values.end() ? fallback : found->second;
}

std::int64_t script_line::number(const std::string &key, std::int64_t fallback) const
{
    const auto found = values.find(key);
    return found == values.end() ? fallback : std::stoll(found->second);
}

std::chrono::milliseconds script_line::time(const std::string &key, std::chrono::milliseconds fallback) const
{
    return std::chrono::milliseconds(number(key, fallback.count()));
}

std::vector<std::string> script_line::list(const std::string &key) const
{
    return split(text(key), ',');
}

std::vector<std::string> split(const std::string &text, char separator)
{
    std::vector<std::string> parts;
    std::istringstream in(text);
    for (std::string part; std::getline(in, part, separator);) {
        parts.push_back(part);
    }
    return parts;
}

script_line readScriptLine(const std::string &text)
{
    std::istringstream in(text);
    script_line line;
    std::int64_t at = 0;
    in >> at >> line.verb;
    line.at = std::chrono::milliseconds(at);
    for (std::string pair; in >> pair;) {
        const auto sign = pair.find('=');
        line.values[pair.substr(0, sign)] = pair.substr(sign + 1);
    }
    return line;
}

} // namespace mustardtrail::placement::tests
