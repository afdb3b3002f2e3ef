#include "programs/ctl/internal/command_line.h"

#include <algorithm>
#include <optional>
#include <string_view>

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>

ABSL_FLAG(bool, json, false, "print JSON, for programs");
ABSL_FLAG(std::string, language, "en", "en or es");

namespace mustardtrail::ctl
{

namespace
{

constexpr std::string_view flagStart = "--";

bool isOwnFlag(std::string_view name)
{
    return name == "json" || name == "language";
}

bool isSubcommandOption(std::string_view name)
{
    return name == "route" || name == "tokens" || name == "customer";
}

/// Sets a flag from "--name" or "--name=value". The library's own parser ends the process with exit code 1
/// on a bad flag, where operators' scripts expect the code for usage.
bool setFlag(std::string_view argument)
{
    argument.remove_prefix(flagStart.size());
    const size_t equals = argument.find('=');
    const std::string_view name = argument.substr(0, equals);
    if (!isOwnFlag(name)) {
        return false;
    }
    const std::string value = equals == std::string_view::npos ? "" : std::string(argument.substr(equals + 1));
    if (value.empty() && name != "json") {
        return false;
    }
    std::string failure;
    return absl::FindCommandLineFlag({ name.data(), name.size() })->ParseFrom(value.empty() ? "true" : value, &failure);
}

} // namespace

tl::expected<command_line, std::string> readCommandLine(const std::vector<std::string> &arguments)
{
    absl::SetFlag(&FLAGS_json, false);
    absl::SetFlag(&FLAGS_language, "en");
    command_line result;
    bool onlyWords = false;
    std::string open; // Option whose value is the next argument.
    for (const std::string &argument : arguments) {
        const size_t equals = std::min(argument.find('='), argument.size());
        const std::string name = argument.starts_with(flagStart) ? argument.substr(flagStart.size(), equals - flagStart.size()) : "";
        if (!open.empty()) {
            result.options[open] = argument;
            open.clear();
        } else if (!onlyWords && isSubcommandOption(name)) {
            open = equals == argument.size() ? name : "";
            result.options[name] = equals == argument.size() ? "" : argument.substr(equals + 1);
        } else if (onlyWords || !argument.starts_with('-')) {
            result.words.push_back(argument);
        } else if (argument == flagStart) {
            onlyWords = true;
        } else if (argument == "--help" || argument == "-h") {
            result.help = true;
        } else if (!argument.starts_with(flagStart) || !setFlag(argument)) {
            return tl::unexpected(argument);
        }
    }
    if (!open.empty()) {
        return tl::unexpected(std::string(flagStart).append(open));
    }
    const std::optional<config::language> language = config::languageFromString(absl::GetFlag(FLAGS_language));
    if (!language) {
        return tl::unexpected(std::string("--language=").append(absl::GetFlag(FLAGS_language)));
    }
    result.language = *language;
    result.json = absl::GetFlag(FLAGS_json);
    return result;
}

} // namespace mustardtrail::ctl
