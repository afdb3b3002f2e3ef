#include "programs/ctl/internal/run_ctl.h"

#include "programs/ctl/internal/command_line.h"

#include "config/message_catalogue.h"
#include "config/text_table.h"

#include <algorithm>

namespace mustardtrail::ctl
{

namespace
{

std::string wordText(std::string_view name, config::language language)
{
    return std::string(config::word(name, language));
}

config::text_table exitCodes(config::language language)
{
    config::text_table table({ wordText("exit_codes", language), "" });
    table.add({ "0", wordText("exit_ok", language) });
    table.add({ "1", wordText("exit_problems", language) });
    table.add({ "2", wordText("exit_usage", language) });
    table.add({ "3", wordText("exit_unreadable", language) });
    return table;
}

void printHelp(const std::vector<subcommand> &commands, config::language language, std::ostream &out)
{
    out << wordText("usage", language) << ": mustardtrail-ctl [--json] [--language=en|es] COMMAND ...\n\n";
    config::text_table list({ wordText("commands", language), "", "" });
    for (const subcommand &command : commands) {
        list.add({ std::string(command.name), std::string(command.arguments), wordText(command.help, language) });
    }
    config::text_table flags({ wordText("flags", language), "" });
    flags.add({ "--json", wordText("help_json", language) });
    flags.add({ "--language=en|es", wordText("help_language", language) });
    flags.add({ "--help", wordText("help_help", language) });
    out << list.str() << '\n' << flags.str() << '\n' << exitCodes(language).str();
}

} // namespace

exit_code runCtl(const std::vector<subcommand> &commands, const std::vector<std::string> &arguments, const ctl_host &host)
{
    const tl::expected<command_line, std::string> line = readCommandLine(arguments);
    if (!line) {
        host.err << wordText("exit_usage", config::language::english) << ": " << line.error() << "\n\n";
        printHelp(commands, config::language::english, host.err);
        return exit_code::usage;
    }
    if (line->help) {
        printHelp(commands, line->language, host.out);
        return exit_code::ok;
    }
    const auto command = std::find_if(commands.begin(), commands.end(), [&line](const subcommand &candidate) {
        return !line->words.empty() && candidate.name == line->words.front();
    });
    const auto takesOption = [&](const auto &option) {
        return command->options.contains(option.first);
    };
    if (command == commands.end() || line->words.size() != command->argumentCount + 1
        || !std::all_of(line->options.begin(), line->options.end(), takesOption)) {
        printHelp(commands, line->language, host.err);
        return exit_code::usage;
    }
    const command_context context{
        line->json, line->language, host.out, host.err, host.readFile, host.readDump, host.fetch, line->options
    };
    return command->run({ line->words.begin() + 1, line->words.end() }, context);
}

} // namespace mustardtrail::ctl
