#include "proof/tests/operating_program_run.h"

#include "testing/golden_file.h"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/io.hpp>
#include <boost/process/start_dir.hpp>

#include <unistd.h>

#include <filesystem>
#include <sstream>

namespace mustardtrail::proof
{

namespace process = boost::process;

std::vector<std::string> wordsOf(const std::string &line)
{
    std::istringstream stream(line);
    std::vector<std::string> words;
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

program_run runProgram(const std::vector<std::string> &words, const std::string &workingFolder)
{
    const std::string name = "mustardtrail-run-" + std::to_string(::getpid());
    const auto out = std::filesystem::temp_directory_path() / (name + ".out");
    const auto err = std::filesystem::temp_directory_path() / (name + ".err");
    process::child child(std::string(MT_BINARIES) + "/" + words.front(),
        process::args(std::vector<std::string>(words.begin() + 1, words.end())),
        process::start_dir(workingFolder),
        process::std_out > out.string(),
        process::std_err > err.string(),
        process::std_in < process::null);
    child.wait();
    program_run run{ child.exit_code(), testing::readFile(out), testing::readFile(err) };
    std::filesystem::remove(out);
    std::filesystem::remove(err);
    return run;
}

} // namespace mustardtrail::proof
