#pragma once

#include "testing/criterion.h"

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

namespace mustardtrail::testing
{

/// Bytes of a file; fails the running test when it cannot be read.
inline std::string readFile(const std::filesystem::path &path)
{
    std::ifstream in(path, std::ios::binary);
    cr_assert(in.good(), "%s", path.c_str());
    return std::string(std::istreambuf_iterator<char>(in), {});
}

/// Fails the running test unless the text is, byte for byte, what the golden file holds.
/// With MT_REGENERATE_GOLDEN=1 the file is written instead.
inline void expectGolden(const std::filesystem::path &path, const std::string &actual)
{
    const char *regenerate = std::getenv("MT_REGENERATE_GOLDEN");
    if (regenerate != nullptr && std::string(regenerate) == "1") {
        std::ofstream(path, std::ios::binary) << actual;
        return;
    }
    const std::string expected = readFile(path);
    if (actual == expected) {
        return;
    }
    const auto different = std::mismatch(actual.begin(), actual.end(), expected.begin(), expected.end()).first;
    const auto line = 1 + std::count(actual.begin(), different, '\n');
    cr_assert_fail("%s: first difference in line %td; got:\n%s", path.c_str(), line, actual.c_str());
}

} // namespace mustardtrail::testing
