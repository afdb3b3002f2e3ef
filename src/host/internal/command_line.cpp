#include "host/command_line.h"

#include <absl/flags/parse.h>

#include <algorithm>
#include <string_view>

namespace mustardtrail::host
{

namespace
{

constexpr std::string_view flagMark = "--";

// Abseil knows underscores only.
void useUnderscores(char *argument)
{
    const std::string_view text(argument);
    if (!text.starts_with(flagMark)) {
        return;
    }
    const size_t nameEnd = std::min(text.find('='), text.size());
    std::replace(argument + flagMark.size(), argument + nameEnd, '-', '_');
}

} // namespace

std::vector<char *> parseCommandLine(int argc, char **argv)
{
    for (int index = 1; index < argc && std::string_view(argv[index]) != flagMark; ++index) {
        useUnderscores(argv[index]);
    }
    return absl::ParseCommandLine(argc, argv);
}

} // namespace mustardtrail::host
