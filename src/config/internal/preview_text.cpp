#include "config/internal/concat.h"
#include "config/internal/report_words.h"
#include "config/report_text.h"
#include "config/text_table.h"

#include <set>

namespace mustardtrail::config
{

namespace
{

constexpr std::string_view arrow = " -> ";

std::string section(std::string_view title, const text_table &table, language in)
{
    return concat({ "\n", title, "\n", table.empty() ? concat({ word("none", in), "\n" }) : table.str() });
}

std::string changesSection(const preview_report &report, language in)
{
    text_table table(heading({ "sign", "what", "id", "change", "before", "after" }, in));
    for (const change_line &line : report.changes) {
        table.add({ signText(line.sign),
            std::string(word(nameOf(line.subject), in)),
            orDash(line.id),
            std::string(word(nameOf(line.kind), in)),
            withUnit(line.before, line.unit, in),
            withUnit(line.after, line.unit, in) });
    }
    return section(word("changes", in), table, in);
}

std::string capacitySection(const preview_report &report, language in)
{
    text_table table(heading({ "sign", "model", "data_centre", "engines", "memory_tokens", "load" }, in));
    for (const capacity_row &row : report.capacity) {
        const bool isTotal = row.dataCentre.empty();
        table.add({ signText(row.sign),
            row.model.str(),
            isTotal ? std::string(word("all", in)) : row.dataCentre.str(),
            concat({ std::to_string(row.enginesBefore), arrow, std::to_string(row.enginesAfter) }),
            concat({ std::to_string(row.memoryBefore), arrow, std::to_string(row.memoryAfter) }),
            isTotal && row.loadPercent > 0 ? concat({ "100%", arrow, std::to_string(row.loadPercent), "%" }) : "-" });
    }
    return section(word("capacity", in), table, in);
}

std::string longestPromptSection(const preview_report &report, language in)
{
    text_table table(heading({ "sign", "model", "before", "after" }, in));
    for (const longest_prompt_row &row : report.longestPrompts) {
        table.add({ signText(row.sign), row.model.str(), std::to_string(row.before), std::to_string(row.after) });
    }
    return section(word("longest_prompt", in), table, in);
}

std::string warningsSection(const preview_report &report, language in)
{
    text_table table(heading({ "sign", "code", "message", "id", "before", "after" }, in));
    std::set<error_code> codes;
    for (const preview_warning &warning : report.warnings) {
        table.add({ "!",
            toString(warning.code),
            std::string(messageTitle(warning.code, in)),
            orDash(warning.id),
            withUnit(warning.before, warning.unit, in),
            withUnit(warning.after, warning.unit, in) });
        codes.insert(warning.code);
    }
    std::string result = section(word("warnings", in), table, in);
    if (codes.empty()) {
        return result;
    }
    text_table actions(heading({ "code", "action" }, in));
    for (const error_code code : codes) {
        actions.add({ toString(code), std::string(messageAction(code, in)) });
    }
    return concat({ result, "\n", actions.str() });
}

} // namespace

std::string previewText(const preview_report &report, language in)
{
    return concat({ word("revision", in),
        " ",
        std::to_string(report.revisionBefore),
        arrow,
        std::to_string(report.revisionAfter),
        "\n",
        changesSection(report, in),
        capacitySection(report, in),
        longestPromptSection(report, in),
        warningsSection(report, in) });
}

} // namespace mustardtrail::config
