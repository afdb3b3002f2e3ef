#include "group/tests/support/golden_session.h"

#include "testing/golden_file.h"

#include <sstream>

namespace mustardtrail::group::testing
{

namespace
{

session_input parse(const std::string &line)
{
    std::istringstream words(line.substr(1));
    session_input input;
    std::string word;
    words >> word >> input.verb;
    input.at = std::chrono::milliseconds(std::stoll(word));
    while (words >> word) {
        const size_t equals = word.find('=');
        if (equals == std::string::npos) {
            input.subject = word;
        } else {
            input.values[word.substr(0, equals)] = word.substr(equals + 1);
        }
    }
    return input;
}

} // namespace

std::string session_input::text(const std::string &key) const
{
    const auto found = values.find(key);
    return found == values.end() ? std::string() : found->second;
}

std::int64_t session_input::number(const std::string &key, std::int64_t otherwise) const
{
    return values.contains(key) ? std::stoll(values.at(key)) : otherwise;
}

void replayGolden(const std::string &path, const session_runner &run)
{
    std::istringstream golden(mustardtrail::testing::readFile(path));
    std::string script;
    std::vector<session_input> inputs;
    for (std::string line; std::getline(golden, line);) {
        if (line.starts_with('#') || line.starts_with('>')) {
            script += line + "\n";
        }
        if (line.starts_with('>')) {
            inputs.push_back(parse(line));
        }
    }
    cr_assert(!inputs.empty(), "no input in %s", path.c_str());
    mustardtrail::testing::expectGolden(path, script + run(inputs));
}

} // namespace mustardtrail::group::testing
