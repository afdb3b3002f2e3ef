#include "host/program_settings.h"

#include "host/command_line.h"
#include "host/log.h"

#include <absl/flags/flag.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::string, settings, "", "settings file (INI)");
ABSL_FLAG(bool, check_settings, false, "check the settings file and exit");

namespace mustardtrail::host
{

using settings::setting_kind;

namespace
{

std::string usageText(const std::string &usage, const std::vector<settings::setting_rule> &rules)
{
    std::string text = usage + "\n\nKeys of the settings file (section.key, * required, = value when absent):\n";
    for (const settings::setting_rule &rule : rules) {
        text += "  " + rule.key + (rule.required ? " *" : "") + (rule.fallback.empty() ? "" : " = " + rule.fallback) + "\n";
    }
    return text + "\nExit codes: 0 ok, 1 command line, 2 settings, 3 address cannot be bound.\n";
}

} // namespace

settings::settings_values readProgramSettings(
    int argc, char **argv, const std::string &usage, const std::vector<settings::setting_rule> &rules)
{
    absl::SetProgramUsageMessage(usageText(usage, rules));
    parseCommandLine(argc, argv);
    const std::string fileName = absl::GetFlag(FLAGS_settings);
    if (fileName.empty()) {
        std::fprintf(stderr, "%s\n", "--settings FILE is missing; see --help");
        std::exit(exit_usage);
    }
    auto read = settings::readSettingsFile(fileName, rules);
    if (!read) {
        for (const settings::settings_problem &problem : read.error()) {
            std::fprintf(stderr, "%s\n", toString(problem).c_str());
        }
        std::exit(exit_settings);
    }
    if (absl::GetFlag(FLAGS_check_settings)) {
        std::printf("settings_ok file=%s\n", fileName.c_str());
        std::exit(exit_ok);
    }
    return std::move(*read);
}

std::vector<settings::setting_rule> commonSettingRules()
{
    return {
        { .key = "instance.id", .kind = setting_kind::text, .required = true },
        { .key = "instance.data_centre", .kind = setting_kind::text, .required = true },
        { .key = "log.level", .kind = setting_kind::choice, .fallback = "info", .choices = { "debug", "info", "warning" } },
        { .key = "testing.allow_cuts", .kind = setting_kind::choice, .fallback = "no", .choices = { "no", "yes" } },
    };
}

void openProgramLog(const settings::settings_values &values, const std::string &program)
{
    const std::string &level = values.text("log.level");
    openLog(level == "debug" ? log_level::debug : level == "info" ? log_level::info : log_level::warning, program);
}

} // namespace mustardtrail::host
