#include "programs/ctl/internal/config_file.h"
#include "programs/ctl/internal/subcommands.h"

#include "config/preview.h"
#include "config/report_text.h"

namespace mustardtrail::ctl
{

exit_code runPreview(const std::vector<std::string> &arguments, const command_context &context)
{
    const auto before = readConfigFile(arguments[0], context);
    if (!before) {
        return before.error();
    }
    const auto after = readConfigFile(arguments[1], context);
    if (!after) {
        return after.error();
    }
    const config::preview_report report = config::preview(**before, **after);
    context.out << (context.json ? config::previewJson(report, context.language) : config::previewText(report, context.language));
    return report.warnings.empty() ? exit_code::ok : exit_code::problems;
}

} // namespace mustardtrail::ctl
