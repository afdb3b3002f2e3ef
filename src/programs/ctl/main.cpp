#include "programs/ctl/fetch_answer.h"
#include "programs/ctl/internal/run_ctl.h"
#include "programs/ctl/internal/subcommands.h"
#include "programs/ctl/read_dump.h"

#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

namespace
{

std::optional<std::string> readFile(const std::string &path)
{
    std::error_code failure;
    if (std::filesystem::is_directory(path, failure)) {
        return std::nullopt;
    }
    std::ifstream file(path, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace

int main(int argc, char **argv)
{
    using namespace mustardtrail::ctl;
    const std::vector<std::string> arguments(argv + std::min(argc, 1), argv + argc);
    return static_cast<int>(runCtl(subcommands(), arguments, { std::cout, std::cerr, readFile, readDump, fetchAnswer }));
}
