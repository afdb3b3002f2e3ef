#include "gateway/internal/stream_consolidation.h"

#include "gateway/engine_forecast.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <tuple>

namespace mustardtrail::gateway
{

namespace
{

constexpr double usualFill = 0.8; // Of the slots that consolidated streams may take, so that two draws mostly find room.
constexpr size_t fewestSlowEngines = 2; // In a data centre that counts as slow; a single one is only left out.
constexpr double spareEngines = 1.0; // Beyond those that the streams need, so that two draws differ.

constexpr double fewEngines = 0.25; // Of all, that hold short streams: an idle fleet, whose streams may take any engine.

// With reports of some hundred ms smaller differences are chance, and to follow them sends everybody to the same engines.
constexpr std::chrono::milliseconds clearlyEarlier{ 20 };
constexpr unsigned clearlyFewer = 3;

int freeSlots(const placement_candidate &candidate)
{
    return static_cast<int>(candidate.slots * consolidationFreeShare);
}

bool isAble(const placement_candidate &candidate)
{
    return !candidate.isSuspected && !candidate.isOfOtherCell && !candidate.isAtColdLimit && !candidate.isAtRateLimit;
}

size_t enginesNeeded(const candidates_view &engines, const placement_candidate &usual, double spare)
{
    unsigned streams = 0;
    for (const placement_candidate *each : engines) {
        streams += each->load.latencySensitiveRequests;
    }
    const double perEngine = std::max(1.0, static_cast<double>(static_cast<int>(usual.slots) - freeSlots(usual)) * usualFill);
    return static_cast<size_t>(std::ceil((streams + 1) / perEngine + spare));
}

// Engines that the streams running on these need, the fullest first; all instances that know the same work derive the same ones.
candidates_view consolidationSet(const candidates_view &engines, double spare)
{
    candidates_view able;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(able), [](const placement_candidate *each) {
        return isAble(*each);
    });
    if (able.empty()) {
        return able;
    }
    std::stable_sort(able.begin(), able.end(), [](const placement_candidate *left, const placement_candidate *right) {
        return std::tuple(right->load.latencySensitiveRequests, pendingAt(*left), left->key)
            < std::tuple(left->load.latencySensitiveRequests, pendingAt(*right), right->key);
    });
    const size_t needed = enginesNeeded(engines, *able.front(), spare);
    able.resize(std::min(able.size(), needed));
    return able;
}

// As consolidationSet for one data centre of several: without slow engines, and empty where so many are slow that the others probably
// are too. Otherwise its streams would find one slow engine after the other.
candidates_view setOfDataCentre(const candidates_view &engines, double spare)
{
    candidates_view healthy;
    std::copy_if(engines.begin(), engines.end(), std::back_inserter(healthy), [](const placement_candidate *each) {
        return each->slowness <= 1.0;
    });
    const size_t slow = engines.size() - healthy.size();
    const bool isSlow = slow >= fewestSlowEngines && slow * 2 >= enginesNeeded(engines, *engines.front(), spare);
    return isSlow ? candidates_view() : consolidationSet(healthy, spare);
}

std::vector<candidates_view> byDataCentre(const candidates_view &ordered)
{
    std::map<std::uint64_t, candidates_view> groups;
    for (const placement_candidate *each : ordered) {
        groups[each->dataCentre].push_back(each);
    }
    std::vector<candidates_view> result;
    for (auto &[dataCentre, engines] : groups) {
        result.push_back(std::move(engines));
    }
    return result;
}

/// Draws engines with one random number.
class engine_draw
{
public:
    engine_draw(std::uint64_t number, std::chrono::microseconds part, const engine_profile &engine)
        : m_number(number)
        , m_part(part)
        , m_engine(engine)
    {
    }

    /// Null if there is none.
    const placement_candidate *one(const candidates_view &among)
    {
        if (among.empty()) {
            return nullptr;
        }
        const placement_candidate *drawn = among[m_number % among.size()];
        m_number /= among.size();
        return drawn;
    }

    /// The first of two, unless the second is clearly less loaded; null if there is none.
    const placement_candidate *betterOfTwo(const candidates_view &among)
    {
        if (among.empty()) {
            return nullptr;
        }
        const placement_candidate *first = one(among);
        const placement_candidate *second = one(among);
        return isClearlyLess(*second, *first) ? second : first;
    }

private:
    bool isClearlyLess(const placement_candidate &left, const placement_candidate &right) const
    {
        const auto there = forecastAt(left, m_part, m_engine).firstEvent;
        const auto here = forecastAt(right, m_part, m_engine).firstEvent;
        return there + clearlyEarlier < here || (there <= here && left.load.requests + clearlyFewer <= right.load.requests);
    }

    std::uint64_t m_number;
    std::chrono::microseconds m_part;
    const engine_profile &m_engine;
};

} // namespace

const placement_candidate *localUnlessLater(const placement_candidate *own,
    const placement_candidate *elsewhere,
    std::chrono::microseconds part,
    const engine_profile &engine,
    const placement_request &request,
    time_point now)
{
    if (!own || !elsewhere) {
        return own ? own : elsewhere;
    }
    const auto ownEvent = forecastAt(*own, part, engine).firstEvent;
    const auto otherEvent = forecastAt(*elsewhere, part, engine).firstEvent;
    const auto isOnTime = [&](std::chrono::microseconds firstEvent) {
        return now + firstEvent + forecastMargin < request.firstEventDueAt;
    };
    const bool isEarlier = otherEvent + localPreference < ownEvent;
    return isEarlier || (!isOnTime(ownEvent) && isOnTime(otherEvent)) ? elsewhere : own;
}

const placement_candidate *consolidatedEngine(const candidates_view &ordered,
    std::int64_t tokens,
    std::chrono::microseconds part,
    const engine_profile &engine,
    const placement_request &request,
    time_point now)
{
    const auto groups = byDataCentre(ordered);
    // With several data centres, rounding up in each leaves a spare engine already.
    const double spare = groups.size() > 1 ? 0.0 : spareEngines;
    const auto hasRoom = [&](const placement_candidate *each) {
        return isAble(*each) && canAnswer(*each, tokens, engine, 0) && stepTimeWith(*each, part, engine) <= consolidationStepLimit;
    };
    const auto isOnTime = [&](const placement_candidate *each) {
        return now + forecastAt(*each, part, engine).firstEvent + forecastMargin < request.firstEventDueAt;
    };
    candidates_view set;
    for (const candidates_view &group : groups) {
        const auto engines = groups.size() > 1 ? setOfDataCentre(group, spare) : consolidationSet(group, spare);
        set.insert(set.end(), engines.begin(), engines.end());
    }
    const size_t needed = set.size();
    std::erase_if(set, std::not_fn(hasRoom));
    engine_draw draw(request.draw, part, engine);
    // After a restart of many instances the few streams that run do not yet show how many engines are needed.
    const auto onTime = static_cast<size_t>(std::count_if(set.begin(), set.end(), isOnTime));
    if (static_cast<double>(needed) < static_cast<double>(ordered.size()) * fewEngines && onTime * 2 < needed) {
        candidates_view able;
        std::copy_if(ordered.begin(), ordered.end(), std::back_inserter(able), hasRoom);
        return draw.betterOfTwo(able);
    }
    candidates_view own;
    candidates_view elsewhere;
    for (const placement_candidate *each : set) {
        (each->isInOwnDataCentre ? own : elsewhere).push_back(each);
    }
    const placement_candidate *local = draw.betterOfTwo(own);
    // The better of two elsewhere would often win by the preference only because it was chosen out of more.
    const placement_candidate *other = local ? draw.one(elsewhere) : draw.betterOfTwo(elsewhere);
    return localUnlessLater(local, other, part, engine, request, now);
}

} // namespace mustardtrail::gateway
