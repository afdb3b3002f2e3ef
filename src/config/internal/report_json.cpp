#include "config/internal/report_words.h"
#include "config/report_text.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::config
{

namespace
{

using boost::json::array;
using boost::json::object;

object toJson(const change_line &line)
{
    return { { "sign", signText(line.sign) },
        { "what", std::string(nameOf(line.subject)) },
        { "change", std::string(nameOf(line.kind)) },
        { "id", line.id },
        { "before", line.before },
        { "after", line.after },
        { "unit", line.unit } };
}

object toJson(const capacity_row &row)
{
    return { { "sign", signText(row.sign) },
        { "model", row.model.str() },
        { "data_centre", row.dataCentre.str() },
        { "engines_before", row.enginesBefore },
        { "engines_after", row.enginesAfter },
        { "memory_tokens_before", row.memoryBefore },
        { "memory_tokens_after", row.memoryAfter },
        { "load_percent", row.loadPercent } };
}

object toJson(const longest_prompt_row &row)
{
    return { { "sign", signText(row.sign) }, { "model", row.model.str() }, { "tokens_before", row.before }, { "tokens_after", row.after } };
}

template<typename items> array toArray(const std::vector<items> &rows)
{
    array result;
    for (const items &row : rows) {
        result.emplace_back(toJson(row));
    }
    return result;
}

std::string line(const object &value)
{
    return boost::json::serialize(value) + "\n";
}

} // namespace

std::string problemsJson(const std::vector<config_problem> &problems, language in)
{
    array list;
    for (const config_problem &problem : problems) {
        list.emplace_back(object{ { "code", toString(problem.code) },
            { "key", problem.key },
            { "path", problem.path },
            { "given", problem.given },
            { "allowed", problem.allowed },
            { "message", problemText(problem, in) } });
    }
    return line({ { "accepted", false }, { "problems", list } });
}

std::string summaryJson(const configuration &value)
{
    return line({ { "accepted", true },
        { "revision", value.revision },
        { "classes", value.classes.size() },
        { "customers", value.customers.size() },
        { "models", value.models.size() },
        { "data_centres", value.dataCentres.size() },
        { "backend_servers", value.backendServers.size() },
        { "instances_out_of_service", value.instancesOutOfService.size() } });
}

std::string previewJson(const preview_report &report, language in)
{
    array warnings;
    for (const preview_warning &warning : report.warnings) {
        warnings.emplace_back(object{ { "code", toString(warning.code) },
            { "id", warning.id },
            { "before", warning.before },
            { "after", warning.after },
            { "unit", warning.unit },
            { "message", messageText(warning.code, in, valuesOf(warning)) } });
    }
    return line({ { "revision_before", report.revisionBefore },
        { "revision_after", report.revisionAfter },
        { "changes", toArray(report.changes) },
        { "capacity", toArray(report.capacity) },
        { "longest_prompts", toArray(report.longestPrompts) },
        { "warnings", warnings } });
}

} // namespace mustardtrail::config
