#include "group/group_planner.h"

#include <algorithm>
#include <map>
#include <vector>

namespace mustardtrail::group
{

namespace
{

constexpr int wholePercent = 100;

/// An engine that may take a segment; the id is the configuration's.
struct candidate {
    const backend_server_id *id = nullptr;
    token_count memory = 0;
    token_count free = 0;

    /// Less free memory, then the later id.
    bool operator<(const candidate &other) const
    {
        return free != other.free ? free < other.free : *other.id < *id;
    }
};
using candidates_by_centre = std::map<data_centre_id, std::vector<candidate>>;
using centre_filter = std::function<bool(const data_centre_id &)>;

/// Memory that engines of one data centre could hold for a group.
struct centre_capacity {
    token_count total = 0;
    token_count largest = 0;

    void add(token_count memory)
    {
        total += memory;
        largest = std::max(largest, memory);
    }
    bool holds(const plan_request &request) const
    {
        // The engine that decodes holds the whole answer and at least the last token of the prompt.
        return request.promptTokens + request.maxNewTokens <= total && request.maxNewTokens < largest;
    }
};

bool serves(const config::backend_server &server, const model_id &model)
{
    return server.kind == config::backend_server_kind::engine
        && std::find(server.models.begin(), server.models.end(), model) != server.models.end();
}

std::map<data_centre_id, centre_capacity> configuredCapacity(const config::configuration &config, const model_id &model)
{
    std::map<data_centre_id, centre_capacity> centres;
    for (const auto &[id, server] : config.backendServers) {
        if (serves(server, model)) {
            centres[server.dataCentre].add(server.memoryTokens);
        }
    }
    return centres;
}

bool takesWork(const membership::backend_assignment &assignment)
{
    return assignment.acceptsNewWork && !assignment.owner.empty();
}

candidates_by_centre usableCandidates(
    const membership::fleet_view &view, const free_tokens_hook &freeTokens, const plan_request &request, const centre_filter &wanted)
{
    candidates_by_centre centres;
    // Both maps are in the order of the ids: one walk over them costs far less than a search for each engine.
    auto assignment = view.backends.begin();
    for (const auto &[id, server] : view.config->backendServers) {
        while (assignment != view.backends.end() && assignment->first < id) {
            ++assignment;
        }
        if (assignment == view.backends.end()) {
            break;
        }
        const bool usable = wanted(server.dataCentre) && assignment->first == id && takesWork(assignment->second)
            && serves(server, request.model) && !request.excluded.contains(id);
        if (usable) {
            const token_count free = freeTokens(id).value_or(0);
            centres[server.dataCentre].push_back({ &id, server.memoryTokens, std::min(free, server.memoryTokens) });
        }
    }
    return centres;
}

/// Fewest engines by most free memory; empty when they do not hold the request.
std::vector<candidate> chooseEngines(std::vector<candidate> engines, const plan_request &request, int headroomPercent)
{
    for (candidate &engine : engines) {
        engine.free -= engine.memory * headroomPercent / wholePercent;
    }
    std::make_heap(engines.begin(), engines.end());
    if (engines.empty() || engines.front().free <= request.maxNewTokens) {
        return {};
    }
    const token_count wanted = request.promptTokens + request.maxNewTokens;
    token_count sum = 0;
    std::vector<candidate> chosen;
    while (!engines.empty() && engines.front().free > 0) {
        std::pop_heap(engines.begin(), engines.end());
        chosen.push_back(engines.back());
        engines.pop_back();
        sum += chosen.back().free;
        if (sum >= wanted) {
            return chosen;
        }
    }
    return {};
}

/// Shares of `tokens` in proportion to the free memory; what rounding leaves goes where there is room.
std::vector<token_count> proportionalShares(const std::vector<token_count> &room, token_count tokens)
{
    token_count total = 0;
    for (const token_count one : room) {
        total += one;
    }
    std::vector<token_count> shares;
    token_count left = tokens;
    for (const token_count one : room) {
        shares.push_back(total == 0 ? 0 : tokens * one / total);
        left -= shares.back();
    }
    for (size_t place = 0; place < room.size() && left > 0; ++place) {
        const token_count added = std::min(left, room[place] - shares[place]);
        shares[place] += added;
        left -= added;
    }
    return shares;
}

/// The engine with most free memory decodes; the others come before it in the order of their ids.
std::vector<segment> splitPrompt(std::vector<candidate> engines, const plan_request &request)
{
    std::rotate(engines.begin(), engines.begin() + 1, engines.end());
    std::sort(engines.begin(), engines.end() - 1, [](const candidate &left, const candidate &right) {
        return left.id < right.id;
    });
    const token_count answer = request.maxNewTokens + 1;
    std::vector<token_count> room;
    for (const candidate &engine : engines) {
        room.push_back(engine.free);
    }
    room.back() -= answer;
    const std::vector<token_count> shares = proportionalShares(room, request.promptTokens - 1);
    std::vector<segment> segments;
    token_count first = 0;
    for (size_t place = 0; place < engines.size(); ++place) {
        const bool last = place + 1 == engines.size();
        const token_count tokens = shares[place] + (last ? 1 : 0);
        if (tokens > 0) {
            segments.push_back({ *engines[place].id, first, tokens, tokens + (last ? request.maxNewTokens : 0) });
            first += tokens;
        }
    }
    return segments;
}

bool isBetter(const group_plan &left, const group_plan &right, const data_centre_id &own)
{
    if ((left.dataCentre == own) != (right.dataCentre == own)) {
        return left.dataCentre == own;
    }
    return left.segments.size() < right.segments.size();
}

std::optional<group_plan> bestPlan(
    const candidates_by_centre &centres, const plan_request &request, const data_centre_id &own, int headroomPercent)
{
    std::optional<group_plan> best;
    for (const auto &[centre, engines] : centres) {
        const std::vector<candidate> chosen = chooseEngines(engines, request, headroomPercent);
        if (chosen.empty()) {
            continue;
        }
        const group_plan plan{ centre, splitPrompt(chosen, request) };
        if (!best || isBetter(plan, *best, own)) {
            best = plan;
        }
    }
    return best;
}

bool couldHold(const candidates_by_centre &centres, const plan_request &request)
{
    return std::any_of(centres.begin(), centres.end(), [&](const auto &entry) {
        centre_capacity capacity;
        for (const candidate &engine : entry.second) {
            capacity.add(engine.memory);
        }
        return capacity.holds(request);
    });
}

error refusal(error_code code, const plan_request &request, std::optional<std::chrono::milliseconds> retryAfter)
{
    return { code,
        verdict::not_run,
        "prompt_tokens=" + std::to_string(request.promptTokens) + " max_new_tokens=" + std::to_string(request.maxNewTokens),
        retryAfter };
}

} // namespace

result<group_plan> planGroup(
    const membership::fleet_view &view, const free_tokens_hook &freeTokens, const plan_request &request, const planner_options &options)
{
    const data_centre_id &own = view.selfDataCentre;
    const auto isOwn = [&own](const data_centre_id &centre) {
        return centre == own;
    };
    if (request.promptTokens > 0) {
        // The own data centre answers nearly always; the others are looked at only when it cannot.
        if (auto plan = bestPlan(usableCandidates(view, freeTokens, request, isOwn), request, own, options.headroomPercent)) {
            return *std::move(plan);
        }
    }
    const auto configured = configuredCapacity(*view.config, request.model);
    const bool everFits = request.promptTokens > 0 && std::any_of(configured.begin(), configured.end(), [&](const auto &entry) {
        return entry.second.holds(request);
    });
    if (!everFits) {
        return tl::unexpected(refusal(error_code::prompt_exceeds_fleet, request, std::nullopt));
    }
    const auto isAny = [](const data_centre_id & /*centre*/) {
        return true;
    };
    const candidates_by_centre centres = usableCandidates(view, freeTokens, request, isAny);
    // Room is left for short requests where any data centre allows it; a prompt that fits only without it still runs.
    for (const int headroom : { options.headroomPercent, 0 }) {
        if (auto plan = bestPlan(centres, request, own, headroom)) {
            return *std::move(plan);
        }
    }
    const auto retryAfter = couldHold(centres, request) ? options.busyRetryAfter : options.outOfServiceRetryAfter;
    return tl::unexpected(refusal(error_code::group_memory_busy, request, retryAfter));
}

token_count largestGroup(const config::configuration &config, const model_id &model)
{
    token_count largest = 0;
    for (const auto &[centre, capacity] : configuredCapacity(config, model)) {
        largest = std::max(largest, capacity.total);
    }
    return largest;
}

} // namespace mustardtrail::group
