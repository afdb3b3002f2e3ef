#include "base/random_source.h"
#include "fuzz/fuzz_target.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "testing/expect.h"

using namespace mustardtrail;

namespace
{

struct corpus_file {
    std::string name;
    std::string bytes;
};

std::vector<corpus_file> corpus()
{
    std::vector<corpus_file> files;
    for (const auto &entry : std::filesystem::directory_iterator(MT_FUZZ_CORPUS)) {
        std::ifstream in(entry.path(), std::ios::binary);
        files.push_back({ entry.path().filename().string(), std::string(std::istreambuf_iterator<char>(in), {}) });
    }
    std::sort(files.begin(), files.end(), [](const corpus_file &left, const corpus_file &right) {
        return left.name < right.name;
    });
    return files;
}

bool isValid(const corpus_file &file)
{
    return file.name.starts_with("valid-");
}

} // namespace

// The name of a bad file starts with the code that it must yield.
Test(corpus, everyBadInputYieldsACodedProblem)
{
    const std::vector<corpus_file> files = corpus();
    cr_assert(std::count_if(files.begin(), files.end(), isValid) >= 1);
    cr_assert(files.size() >= 10);
    for (const corpus_file &file : files) {
        const std::vector<error_code> codes = fuzz::readAnyBytes(file.bytes);
        if (isValid(file)) {
            cr_assert(codes.empty(), "%s", file.name.c_str());
            continue;
        }
        const auto code = errorCodeFromString(file.name.substr(0, 7));
        cr_assert(code.has_value(), "%s", file.name.c_str());
        cr_assert(std::find(codes.begin(), codes.end(), *code) != codes.end(), "%s", file.name.c_str());
    }
}

Test(corpus, randomDamageNeverCrashes)
{
    random_source random(20261203);
    const std::vector<corpus_file> files = corpus();
    for (int round = 0; round < 5000; ++round) {
        std::string text = files[random.below(files.size())].bytes;
        const std::uint64_t changes = 1 + random.below(4);
        for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
            const size_t at = random.below(text.size());
            if (random.below(2) == 0) {
                text[at] = static_cast<char>(random.below(256));
            } else {
                text.erase(at, 1 + random.below(8));
            }
        }
        fuzz::readAnyBytes(text);
    }
}
