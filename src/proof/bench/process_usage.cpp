#include "proof/bench/process_usage.h"

#include <fstream>
#include <sstream>
#include <string>

#include <unistd.h>

namespace mustardtrail::proof
{

namespace
{

constexpr int fieldsBeforeUserTime = 11; ///< Of /proc/PID/stat, counted after the program's name.

std::string pathOf(int processId, const char *file)
{
    return "/proc/" + std::to_string(processId) + "/" + file;
}

} // namespace

long residentKiB(int processId)
{
    std::ifstream status(pathOf(processId, "status"));
    std::string word;
    while (status >> word) {
        if (word == "VmRSS:") {
            long value = 0;
            status >> value;
            return value;
        }
    }
    return 0;
}

std::chrono::milliseconds processorTime(int processId)
{
    std::ifstream stat(pathOf(processId, "stat"));
    std::string line;
    std::getline(stat, line);
    const size_t nameEnd = line.rfind(')');
    if (nameEnd == std::string::npos) {
        return {};
    }
    std::istringstream fields(line.substr(nameEnd + 1));
    std::string skipped;
    for (int field = 0; field < fieldsBeforeUserTime; ++field) {
        fields >> skipped;
    }
    long user = 0;
    long system = 0;
    fields >> user >> system;
    return std::chrono::milliseconds((user + system) * 1000 / ::sysconf(_SC_CLK_TCK));
}

} // namespace mustardtrail::proof
