#include "config/preview.h"

#include "config/duration_text.h"
#include "config/internal/capacity.h"
#include "config/internal/concat.h"
#include "config/internal/preview_changes.h"

#include <algorithm>
#include <map>

namespace mustardtrail::config
{

namespace
{

void warnOfModels(const configuration &after, const preview_report &report, std::vector<preview_warning> &warnings)
{
    for (const capacity_row &row : report.capacity) {
        if (!row.dataCentre.empty() || !after.models.contains(row.model)) {
            continue;
        }
        if (row.enginesAfter == 0) {
            warnings.push_back(
                { error_code::preview_model_without_engine, row.model.str(), std::to_string(row.enginesBefore), "0", "engines" });
        } else if (row.loadPercent > loadWarningPercent) {
            warnings.push_back(
                { error_code::preview_load_grows, row.model.str(), "100%", concat({ std::to_string(row.loadPercent), "%" }), "" });
        }
    }
}

void warnOfLongestPrompts(const configuration &after, const preview_report &report, std::vector<preview_warning> &warnings)
{
    for (const longest_prompt_row &row : report.longestPrompts) {
        // A model without any engine has a warning of its own.
        const bool shrinks = row.after < row.before && row.after < longestPromptTokens && row.after > 0;
        if (shrinks && after.models.contains(row.model)) {
            warnings.push_back({ error_code::preview_longest_prompt_shrinks,
                row.model.str(),
                std::to_string(row.before),
                std::to_string(row.after),
                "tokens" });
        }
    }
}

std::map<service_id, int> servicesInService(const configuration &value)
{
    std::map<service_id, int> counts;
    for (const auto &[id, server] : value.backendServers) {
        if (server.kind == backend_server_kind::service) {
            counts[server.service] += isInService(value, server) ? 1 : 0;
        }
    }
    return counts;
}

void warnOfServices(const configuration &before, const configuration &after, std::vector<preview_warning> &warnings)
{
    const std::map<service_id, int> next = servicesInService(after);
    std::map<service_id, int> all = servicesInService(before);
    for (const auto &[service, count] : next) {
        all.emplace(service, 0);
    }
    for (const auto &[service, countBefore] : all) {
        const auto found = next.find(service);
        if (found == next.end() || found->second == 0) {
            warnings.push_back(
                { error_code::preview_service_without_backend_server, service.str(), std::to_string(countBefore), "0", "backend_servers" });
        }
    }
}

void warnOfClasses(const configuration &after, const preview_report &report, std::vector<preview_warning> &warnings)
{
    const bool anyEngine = std::any_of(report.capacity.begin(), report.capacity.end(), [](const capacity_row &row) {
        return row.enginesAfter > 0;
    });
    if (anyEngine) {
        return;
    }
    for (const auto &[id, item] : after.classes) {
        warnings.push_back({ error_code::preview_class_without_engine, id.str(), durationToText(item.firstTokenTarget), "0", "engines" });
    }
}

void warnOfDataCentres(const configuration &before, const configuration &after, std::vector<preview_warning> &warnings)
{
    const auto inService = [](const configuration &value) {
        return std::count_if(value.dataCentres.begin(), value.dataCentres.end(), [](const auto &entry) {
            return entry.second.inService;
        });
    };
    if (inService(after) == 0) {
        warnings.push_back({ error_code::preview_no_data_centre, "", std::to_string(inService(before)), "0", "data_centres" });
    }
}

} // namespace

preview_report preview(const configuration &before, const configuration &after)
{
    preview_report report;
    report.revisionBefore = before.revision;
    report.revisionAfter = after.revision;
    report.changes = findChanges(before, after);
    report.capacity = compareCapacity(before, after);
    report.longestPrompts = compareLongestPrompts(before, after);
    warnOfDataCentres(before, after, report.warnings);
    warnOfModels(after, report, report.warnings);
    warnOfClasses(after, report, report.warnings);
    warnOfLongestPrompts(after, report, report.warnings);
    warnOfServices(before, after, report.warnings);
    return report;
}

} // namespace mustardtrail::config
