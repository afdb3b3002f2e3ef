#include "config/message_catalogue.h"
#include "fuzz/fuzz_target.h"
#include "tests/sample_configuration.h"

#include <algorithm>
#include <filesystem>

#include "base/random_source.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

namespace
{

std::vector<std::string> corpusFiles()
{
    std::vector<std::string> names;
    for (const auto &file : std::filesystem::directory_iterator(std::string(MT_CONFIG_TEST_DIR) + "/corpus")) {
        names.push_back("corpus/" + file.path().filename().string());
    }
    std::sort(names.begin(), names.end());
    return names;
}

} // namespace

Test(corpus, everyBadConfigurationYieldsACodedProblem)
{
    const std::vector<std::string> files = corpusFiles();
    cr_assert(files.size() >= 40);
    for (const std::string &name : files) {
        const std::vector<config_problem> problems = readAnyText(readTestFile(name));
        cr_assert_not(problems.empty(), "%s", name.c_str());
        // The name of the file starts with the code that it must yield.
        const std::string code = std::filesystem::path(name).filename().string().substr(0, 7);
        cr_assert(std::any_of(problems.begin(),
                      problems.end(),
                      [&code](const config_problem &problem) {
                          return toString(problem.code) == code;
                      }),
            "%s gives %s",
            name.c_str(),
            toString(problems[0].code).c_str());
        cr_assert(std::all_of(problems.begin(), problems.end(), [](const config_problem &problem) {
            return isInCatalogue(problem.code);
        }));
    }
}

Test(corpus, randomDamageNeverCrashes)
{
    random_source random(20261203);
    const std::vector<std::string> files = corpusFiles();
    for (int round = 0; round < 5000; ++round) {
        std::string text = readTestFile(files[random.below(files.size())]);
        const std::uint64_t changes = 1 + random.below(4);
        for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
            const size_t at = random.below(text.size());
            if (random.below(2) == 0) {
                text[at] = static_cast<char>(random.below(256));
            } else {
                text.erase(at, 1 + random.below(8));
            }
        }
        readAnyText(text);
    }
}
