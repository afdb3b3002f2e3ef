#include "programs/ctl/tests/example_files.h"

#include <sstream>

#include "testing/golden_file.h"

using namespace mustardtrail;
using namespace mustardtrail::ctl;

namespace
{

constexpr const char *page = "config.md";
constexpr std::string_view blockStart = "```console";
constexpr std::string_view blockEnd = "```";
constexpr std::string_view prompt = "$ mustardtrail-ctl ";
constexpr std::string_view exitLine = "$ echo $?";

std::vector<std::string> words(const std::string &line)
{
    std::istringstream stream(line.substr(prompt.size()));
    std::vector<std::string> result;
    for (std::string word; stream >> word;) {
        result.push_back(word);
    }
    return result;
}

/// The page with the output of each of its commands as the program gives it now.
std::string withOutputs(const std::string &text, int &commands)
{
    std::istringstream lines(text);
    std::string result;
    bool inBlock = false;
    for (std::string line; std::getline(lines, line);) {
        if (line == blockStart) {
            inBlock = true;
            result += line + '\n';
        } else if (inBlock && line.starts_with(prompt)) {
            const example_run run = runExample(words(line));
            result += line + '\n' + run.out + run.err + std::string(exitLine) + '\n' + std::to_string(run.exit) + '\n';
            ++commands;
        } else if (inBlock && line == blockEnd) {
            inBlock = false;
            result += line + '\n';
        } else if (!inBlock) {
            result += line + '\n';
        }
    }
    return result;
}

} // namespace

Test(operating_page, everyCommandGivesWhatThePageShows)
{
    const std::string text = *readOperatingFile(page);
    int commands = 0;
    const std::string expected = withOutputs(text, commands);
    cr_assert(commands >= 6);
    testing::expectGolden(std::string(MT_OPERATING_DIR) + "/" + page, expected);
}
