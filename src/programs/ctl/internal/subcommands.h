#pragma once

#include "programs/ctl/internal/subcommand.h"

namespace mustardtrail::ctl
{

exit_code runCheck(const std::vector<std::string> &arguments, const command_context &context);
exit_code runPreview(const std::vector<std::string> &arguments, const command_context &context);
exit_code runCodes(const std::vector<std::string> &arguments, const command_context &context);
exit_code runDump(const std::vector<std::string> &arguments, const command_context &context);
exit_code runExplain(const std::vector<std::string> &arguments, const command_context &context);
exit_code runWhere(const std::vector<std::string> &arguments, const command_context &context);

} // namespace mustardtrail::ctl
