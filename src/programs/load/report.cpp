#include "programs/load/report.h"

#include "programs/load/prompt_length.h"
#include "programs/load/quantile.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <map>

namespace mustardtrail::load
{

namespace
{

using times = std::vector<std::chrono::nanoseconds>;

struct length_row {
    prompt_length length;
    const char *name;
};

constexpr std::array<length_row, 3> lengthRows{ { { prompt_length::short_prompt, "1,000 to 8,192" },
    { prompt_length::middle_prompt, "8,193 to 100,000" },
    { prompt_length::long_prompt, "above 100,000" } } };

/// Counts of one entry address.
struct entry_service {
    size_t finished = 0;
    std::map<std::string, size_t> refused; ///< By code.
    std::map<std::string, size_t> failed; ///< By code and verdict.
};

std::string milliText(std::chrono::nanoseconds value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.1f", std::chrono::duration<double, std::milli>(value).count());
    return text;
}

times timesOf(const load_phase &phase, prompt_length length, std::chrono::nanoseconds request_outcome::*field)
{
    times values;
    for (size_t index = 0; index < phase.plan.size(); ++index) {
        const request_outcome &outcome = phase.outcomes[index];
        if (outcome.kind == outcome_kind::finished && lengthOf(phase.plan[index].promptTokens) == length) {
            values.push_back(outcome.*field);
        }
    }
    return values;
}

std::string slowdownRow(
    const char *name, const load_phase &without, const load_phase &with, std::chrono::nanoseconds request_outcome::*field)
{
    constexpr double part = 0.95;
    const auto alone = quantile(timesOf(without, prompt_length::short_prompt, field), part);
    const auto shared = quantile(timesOf(with, prompt_length::short_prompt, field), part);
    char ratio[32] = "-";
    if (alone.count() > 0) {
        std::snprintf(ratio, sizeof(ratio), "%.2f", static_cast<double>(shared.count()) / static_cast<double>(alone.count()));
    }
    return "| " + std::string(name) + " | " + milliText(alone) + " | " + milliText(shared) + " | " + ratio + " |\n";
}

std::string countsText(const std::map<std::string, size_t> &counts)
{
    std::string text;
    for (const auto &[code, count] : counts) {
        text.append(text.empty() ? "" : ", ").append(code).append(" ").append(std::to_string(count));
    }
    return text.empty() ? "0" : text;
}

void count(entry_service &service, const request_outcome &outcome)
{
    switch (outcome.kind) {
    case outcome_kind::finished:
        ++service.finished;
        break;
    case outcome_kind::refused:
        ++service.refused[outcome.code];
        break;
    case outcome_kind::failed:
        ++service.failed[outcome.code + "/" + (outcome.verdict.empty() ? "no_verdict" : outcome.verdict)];
        break;
    }
}

} // namespace

std::string firstTokenTable(const load_phase &phase)
{
    std::string table = "| prompt, tokens | finished | first token p50, ms | p95 | p99 |\n| --- | --- | --- | --- | --- |\n";
    for (const length_row &row : lengthRows) {
        const times values = timesOf(phase, row.length, &request_outcome::firstToken);
        table += "| " + std::string(row.name) + " | " + std::to_string(values.size());
        for (const double part : { 0.5, 0.95, 0.99 }) {
            table += " | " + milliText(quantile(values, part));
        }
        table += " |\n";
    }
    return table;
}

std::string slowdownTable(const load_phase &without, const load_phase &with)
{
    return "| short requests | p95 without long, ms | p95 with long, ms | slowdown |\n| --- | --- | --- | --- |\n"
        + slowdownRow("first token", without, with, &request_outcome::firstToken)
        + slowdownRow("whole answer", without, with, &request_outcome::took);
}

std::string serviceTable(const load_options &options, const load_phase &phase)
{
    std::vector<entry_service> services(options.entries.size());
    for (size_t index = 0; index < phase.plan.size(); ++index) {
        count(services[phase.plan[index].entry], phase.outcomes[index]);
    }
    std::string table = "| entry | finished | refused as not run, by code | failed, by code and verdict |\n| --- | --- | --- | --- |\n";
    for (size_t entry = 0; entry < services.size(); ++entry) {
        table += "| " + toString(options.entries[entry]) + " | " + std::to_string(services[entry].finished) + " | "
            + countsText(services[entry].refused) + " | " + countsText(services[entry].failed) + " |\n";
    }
    return table;
}

bool allRight(const load_phase &phase)
{
    return std::none_of(phase.outcomes.begin(), phase.outcomes.end(), [](const request_outcome &outcome) {
        return outcome.kind == outcome_kind::failed;
    });
}

} // namespace mustardtrail::load
