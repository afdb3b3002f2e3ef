#include "config/internal/capacity.h"

#include <algorithm>
#include <limits>

namespace mustardtrail::config
{

namespace
{

change_sign signOf(token_count before, token_count after)
{
    if (after > before) {
        return change_sign::added;
    }
    return after < before ? change_sign::removed : change_sign::same;
}

engine_capacity find(const capacity_table &table, const model_id &model, const data_centre_id &dataCentre)
{
    const auto row = table.find(model);
    if (row == table.end()) {
        return {};
    }
    const auto cell = row->second.find(dataCentre);
    return cell == row->second.end() ? engine_capacity{} : cell->second;
}

capacity_row compare(const model_id &model, const data_centre_id &dataCentre, const engine_capacity &before, const engine_capacity &after)
{
    return { signOf(before.memoryTokens, after.memoryTokens),
        model,
        dataCentre,
        before.engines,
        after.engines,
        before.memoryTokens,
        after.memoryTokens,
        0 };
}

int loadPercent(token_count before, token_count after)
{
    constexpr int whole = 100;
    if (after <= 0) {
        return 0;
    }
    const double percent = static_cast<double>(before) * whole / static_cast<double>(after);
    return static_cast<int>(std::min(percent, static_cast<double>(std::numeric_limits<int>::max())));
}

} // namespace

bool isInService(const configuration &value, const backend_server &server)
{
    const auto dataCentre = value.dataCentres.find(server.dataCentre);
    return server.inService && dataCentre != value.dataCentres.end() && dataCentre->second.inService;
}

int backendServersInService(const configuration &value, const data_centre_id &dataCentre)
{
    return static_cast<int>(std::count_if(value.backendServers.begin(), value.backendServers.end(), [&](const auto &entry) {
        return entry.second.dataCentre == dataCentre && isInService(value, entry.second);
    }));
}

capacity_table capacityOf(const configuration &value)
{
    capacity_table table;
    for (const auto &[id, server] : value.backendServers) {
        if (server.kind != backend_server_kind::engine || !isInService(value, server)) {
            continue;
        }
        for (const model_id &model : server.models) {
            engine_capacity &cell = table[model][server.dataCentre];
            ++cell.engines;
            cell.memoryTokens += server.memoryTokens;
        }
    }
    return table;
}

engine_capacity totalOf(const capacity_table &table, const model_id &model)
{
    engine_capacity total;
    const auto row = table.find(model);
    if (row == table.end()) {
        return total;
    }
    for (const auto &[dataCentre, cell] : row->second) {
        total.engines += cell.engines;
        total.memoryTokens += cell.memoryTokens;
    }
    return total;
}

token_count longestPrompt(const capacity_table &table, const model_id &model)
{
    token_count longest = 0;
    const auto row = table.find(model);
    if (row == table.end()) {
        return longest;
    }
    for (const auto &[dataCentre, cell] : row->second) {
        longest = std::max(longest, cell.memoryTokens);
    }
    return longest;
}

std::set<model_id> modelsOf(const configuration &before, const configuration &after)
{
    std::set<model_id> models = before.models;
    models.insert(after.models.begin(), after.models.end());
    return models;
}

std::vector<capacity_row> compareCapacity(const configuration &before, const configuration &after)
{
    std::vector<capacity_row> rows;
    const capacity_table old = capacityOf(before);
    const capacity_table next = capacityOf(after);
    std::set<data_centre_id> dataCentres;
    for (const configuration *side : { &before, &after }) {
        for (const auto &[id, item] : side->dataCentres) {
            dataCentres.insert(id);
        }
    }
    for (const model_id &model : modelsOf(before, after)) {
        for (const data_centre_id &dataCentre : dataCentres) {
            const engine_capacity cellBefore = find(old, model, dataCentre);
            const engine_capacity cellAfter = find(next, model, dataCentre);
            if (cellBefore.engines != 0 || cellAfter.engines != 0) {
                rows.push_back(compare(model, dataCentre, cellBefore, cellAfter));
            }
        }
        const engine_capacity totalBefore = totalOf(old, model);
        const engine_capacity totalAfter = totalOf(next, model);
        rows.push_back(compare(model, {}, totalBefore, totalAfter));
        rows.back().loadPercent = loadPercent(totalBefore.memoryTokens, totalAfter.memoryTokens);
    }
    return rows;
}

std::vector<longest_prompt_row> compareLongestPrompts(const configuration &before, const configuration &after)
{
    std::vector<longest_prompt_row> rows;
    const capacity_table old = capacityOf(before);
    const capacity_table next = capacityOf(after);
    for (const model_id &model : modelsOf(before, after)) {
        const token_count longestBefore = longestPrompt(old, model);
        const token_count longestAfter = longestPrompt(next, model);
        rows.push_back({ signOf(longestBefore, longestAfter), model, longestBefore, longestAfter });
    }
    return rows;
}

} // namespace mustardtrail::config
