#include "config/internal/concat.h"
#include "config/internal/report_words.h"
#include "config/report_text.h"
#include "config/text_table.h"

#include <algorithm>
#include <set>

namespace mustardtrail::config
{

namespace
{

std::string count(size_t number)
{
    return std::to_string(number);
}

size_t instancesOut(const configuration &value)
{
    return value.instancesOutOfService.size();
}

} // namespace

std::string problemText(const config_problem &problem, language in)
{
    return messageText(
        problem.code, in, { { "key", problem.key }, { "path", problem.path }, { "given", problem.given }, { "allowed", problem.allowed } });
}

std::string problemsText(const std::vector<config_problem> &problems, language in)
{
    text_table table(heading({ "sign", "code", "key", "place", "given", "allowed" }, in));
    std::set<error_code> codes;
    for (const config_problem &problem : problems) {
        table.add(
            { "!", toString(problem.code), orDash(problem.key), orDash(problem.path), orDash(problem.given), orDash(problem.allowed) });
        codes.insert(problem.code);
    }
    text_table actions(heading({ "code", "message", "action" }, in));
    for (const error_code code : codes) {
        actions.add({ toString(code), std::string(messageTitle(code, in)), std::string(messageAction(code, in)) });
    }
    return concat(
        { word("refused", in), ": ", count(problems.size()), " ", word("problems", in), "\n\n", table.str(), "\n", actions.str() });
}

std::string summaryText(const configuration &value, language in)
{
    const auto inService = std::count_if(value.dataCentres.begin(), value.dataCentres.end(), [](const auto &entry) {
        return entry.second.inService;
    });
    text_table table(heading({ "sign", "what", "count" }, in));
    const auto add = [&](std::string_view name, size_t number) {
        table.add({ "=", std::string(word(name, in)), count(number) });
    };
    add("classes", value.classes.size());
    add("customers", value.customers.size());
    add("models", value.models.size());
    add("data_centres", value.dataCentres.size());
    table.add({ "=", concat({ word("data_centres", in), ", ", word("in_service", in) }), count(static_cast<size_t>(inService)) });
    add("backend_servers", value.backendServers.size());
    table.add(
        { instancesOut(value) == 0 ? "=" : "-", concat({ word("instance", in), ", ", word("drains", in) }), count(instancesOut(value)) });
    return concat({ word("revision", in), " ", std::to_string(value.revision), ": ", word("accepted", in), "\n\n", table.str() });
}

} // namespace mustardtrail::config
