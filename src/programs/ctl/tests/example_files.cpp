#include "programs/ctl/tests/example_files.h"

#include "programs/ctl/internal/run_ctl.h"

#include <fstream>
#include <iterator>
#include <sstream>

namespace mustardtrail::ctl
{

std::optional<std::string> readOperatingFile(const std::string &name)
{
    std::ifstream file(std::string(MT_OPERATING_DIR) + "/" + name, std::ios::binary);
    if (!file) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(file), {});
}

example_run runExample(const std::vector<std::string> &arguments)
{
    std::ostringstream out;
    std::ostringstream err;
    const ctl_host host{ out, err, [](const std::string &path) {
                            return readOperatingFile("examples/" + path);
                        } };
    const exit_code code = runCtl(subcommands(), arguments, host);
    return { static_cast<int>(code), out.str(), err.str() };
}

} // namespace mustardtrail::ctl
