#include "programs/ctl/internal/config_file.h"

#include "config/message_catalogue.h"
#include "config/parse_configuration.h"
#include "config/report_text.h"
#include "config/update_codec.h"

namespace mustardtrail::ctl
{

namespace
{

exit_code refuse(const std::string &path, const std::vector<config::config_problem> &problems, const command_context &context)
{
    if (context.json) {
        context.out << config::problemsJson(problems, context.language);
    } else {
        context.out << path << ": " << config::problemsText(problems, context.language);
    }
    return exit_code::problems;
}

} // namespace

tl::expected<std::shared_ptr<const config::configuration>, exit_code> readConfigFile(
    const std::string &path, const command_context &context)
{
    const std::optional<std::string> text = context.readFile(path);
    if (!text) {
        context.err << toString(error_code::settings_unreadable) << ' '
                    << config::messageText(error_code::settings_unreadable, context.language, { { "given", path } }) << '\n';
        return tl::unexpected(exit_code::unreadable);
    }
    const config::decoded_update update = config::decodeFile(*text);
    if (!update) {
        return tl::unexpected(refuse(path, update.error(), context));
    }
    auto value = config::parseConfiguration(update->entries);
    if (!value) {
        return tl::unexpected(refuse(path, value.error(), context));
    }
    return *value;
}

} // namespace mustardtrail::ctl
