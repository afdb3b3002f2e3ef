#include "group/tests/support/golden_session.h"

#include "testing/expect.h"

#include <cstdlib>
#include <fstream>
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

std::string read(const std::string &path)
{
    std::ifstream file(path);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

} // namespace

std::string session_input::text(const std::string &key, const std::string &otherwise) const
{
    const auto found = values.find(key);
    return found == values.end() ? otherwise : found->second;
}

std::int64_t session_input::number(const std::string &key, std::int64_t otherwise) const
{
    const auto found = values.find(key);
    return found == values.end() ? otherwise : std::stoll(found->second);
}

void replayGolden(const std::string &path, const session_step &step)
{
    const std::string golden = read(path);
    std::istringstream lines(golden);
    std::string trace;
    int inputs = 0;
    for (std::string line; std::getline(lines, line);) {
        if (line.starts_with('#')) {
            trace += line + "\n";
        } else if (line.starts_with('>')) {
            trace += line + "\n" + step(parse(line));
            ++inputs;
        }
    }
    cr_assert(inputs > 0, "no input in %s", path.c_str());
    const char *regenerate = std::getenv("MT_REGENERATE_GOLDEN");
    if (regenerate != nullptr && std::string(regenerate) == "1") {
        std::ofstream(path) << trace;
        return;
    }
    mustardtrail::testing::expectEqual(trace, golden);
}

} // namespace mustardtrail::group::testing
