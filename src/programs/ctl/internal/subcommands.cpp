#include "programs/ctl/internal/subcommands.h"

#include "programs/ctl/internal/run_ctl.h"

namespace mustardtrail::ctl
{

const std::vector<subcommand> &subcommands()
{
    static const std::vector<subcommand> table{
        { "check", "FILE", 1, "help_check", runCheck },
        { "preview", "OLD NEW", 2, "help_preview", runPreview },
        { "codes", "", 0, "help_codes", runCodes },
        { "explain", "CODE", 1, "help_explain", runExplain },
        { "dump", "IP:PORT", 1, "help_dump", runDump },
        { "where",
            "IP:PORT --route HOST/PATH --tokens PROMPT,ANSWER [--customer NAME]",
            1,
            "help_where",
            runWhere,
            { "route", "tokens", "customer" } },
    };
    return table;
}

} // namespace mustardtrail::ctl
