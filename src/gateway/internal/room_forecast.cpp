#include "gateway/room_forecast.h"

#include "gateway/engine_timing.h"
#include "gateway/internal/engine_fit.h"

#include <algorithm>
#include <limits>
#include <map>

namespace mustardtrail::gateway
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;

/// Of one stream. Reports hold only the memory for the longest answer (680 to 1,360 tokens); most answers are far shorter.
constexpr std::int64_t meanAnswerTokens = 250;
/// Time left, as a share of the mean, of a stream that has decoded for longer than the mean.
constexpr int overdueDecodeDivisor = 4;
/// The forecast is optimistic: a first event later than this share of the time left is late in fact. In a trial wave, 2.6 times what the
/// engines can prefill, 158 prompts of 440 were on time with it, 152 with a share of 0.8, and 105 without.
constexpr double onTimeShare = 2.0 / 3.0;
constexpr milliseconds arrivalWindow{ 1'000 }; ///< Prompts that began to wait within it show how many are still to come.
/// Of the prompts ahead at least so many are placed, and as many as there are engines, which are work for several seconds. All 768 that
/// the 96 instances of a cell may report took 16 ms of processor time for one forecast; without the rest it is optimistic.
constexpr size_t minCountedAhead = 64;
constexpr double retryJitter = 0.25;
constexpr microseconds never = notForeseen;

struct release {
    microseconds in{ 0 };
    std::int64_t tokens = 0;
    int slots = 0;
};

/// When an engine has room: its prefill, memory and slots over time.
struct engine_outlook {
    microseconds prefillEnds{ 0 };
    microseconds sensitiveEnds{ 0 }; ///< End of its latency-sensitive streams.
    std::int64_t freeTokens = 0;
    int freeSlots = 0;
    microseconds meanDecode{ 0 };
    std::vector<release> releases; ///< The earliest first.

    void add(const release &added)
    {
        const auto later = std::upper_bound(releases.begin(), releases.end(), added, [](const release &left, const release &right) {
            return left.in < right.in;
        });
        releases.insert(later, added);
    }

    microseconds memoryFreeIn(std::int64_t tokens) const
    {
        std::int64_t free = freeTokens;
        int slots = freeSlots;
        microseconds in{ 0 };
        for (const release &each : releases) {
            if (free >= tokens && slots > 0) {
                return in;
            }
            free += each.tokens;
            slots += each.slots;
            in = each.in;
        }
        return free >= tokens && slots > 0 ? in : never;
    }
};

class room_planner
{
public:
    room_planner(const engine_profile &engine, const std::vector<placement_candidate> &candidates, time_point now)
        : m_engine(engine)
        , m_now(now)
    {
        for (const placement_candidate &each : candidates) {
            if (!isUsable(each)) {
                continue;
            }
            engine_outlook &outlook = m_outlooks[each.key];
            outlook.prefillEnds = pendingAt(each);
            outlook.freeTokens = engine.memoryTokens - each.load.memoryTokens;
            outlook.freeSlots = static_cast<int>(each.slots) - static_cast<int>(each.load.requests + each.unseenRequests);
            outlook.meanDecode
                = batchStepTime(engine, each.load) * meanAnswerTokens / std::max(1, static_cast<int>(engine.tokenStepsPerBatchStep));
        }
    }

    void addWork(const server_work &work)
    {
        const auto found = m_outlooks.find(work.server);
        const bool isHelperOnly = work.isHelper && work.memoryTokens == 0;
        if (found == m_outlooks.end() || isHelperOnly) {
            return;
        }
        ++m_works;
        engine_outlook &outlook = found->second;
        const auto decodedFor = duration_cast<microseconds>(m_now - work.sentAt) - work.prefillTime;
        const microseconds shortest = outlook.meanDecode / overdueDecodeDivisor;
        const microseconds endsIn
            = work.isDecoding ? std::max(outlook.meanDecode - decodedFor, shortest) : outlook.prefillEnds + outlook.meanDecode;
        outlook.add({ endsIn, work.memoryTokens, work.isHelper ? 0 : 1 });
        if (work.isLatencySensitive) {
            outlook.sensitiveEnds = std::max(outlook.sensitiveEnds, endsIn);
        }
    }

    /// Takes the engines that give the prompt its earliest first event.
    room_forecast place(std::int64_t promptTokens, std::int64_t memoryTokens)
    {
        const microseconds whole = prefillTime(m_engine, promptTokens);
        const std::int64_t most = largestShare(m_engine);
        const bool exceedsOne = memoryTokens > m_engine.memoryTokens;
        const size_t holders = exceedsOne ? static_cast<size_t>((memoryTokens + most - 1) / most) : 1;
        const std::int64_t share = exceedsOne ? memoryTokens / static_cast<std::int64_t>(holders) + 1 : memoryTokens;
        std::vector<std::pair<microseconds, engine_outlook *>> order;
        for (auto &[key, outlook] : m_outlooks) {
            order.emplace_back(std::max(readyIn(outlook, exceedsOne), outlook.memoryFreeIn(share)), &outlook);
        }
        room_forecast forecast{ never, never, 0, m_outlooks.size(), m_works };
        if (order.size() < holders) {
            return forecast;
        }
        const auto firstHelper = order.begin() + static_cast<std::ptrdiff_t>(holders);
        std::partial_sort(order.begin(), firstHelper, order.end());
        const microseconds held = order[holders - 1].first;
        for (size_t index = holders; index < order.size(); ++index) {
            order[index].first = readyIn(*order[index].second, exceedsOne);
        }
        const size_t used = std::max(holders, std::min(order.size(), maxParts));
        std::partial_sort(firstHelper, order.begin() + static_cast<std::ptrdiff_t>(used), order.end());
        const auto wanted = std::max(static_cast<size_t>((whole + partTarget - microseconds(1)) / partTarget), holders);
        size_t parts = holders;
        for (size_t count = holders; count <= std::min({ order.size(), maxParts, wanted }); ++count) {
            const microseconds start = std::max(held, count > holders ? order[count - 1].first : held);
            const microseconds firstEvent = start + whole / static_cast<std::int64_t>(count) + roundTrip;
            if (count == holders || firstEvent < forecast.firstEventIn) {
                forecast.capacityIn = start;
                forecast.firstEventIn = firstEvent;
                parts = count;
            }
        }
        for (size_t index = 0; index < parts; ++index) {
            engine_outlook &outlook = *order[index].second;
            outlook.prefillEnds = std::max(outlook.prefillEnds, forecast.firstEventIn);
            if (index < holders) {
                const int slots = index == 0 ? 1 : 0;
                outlook.freeTokens -= share;
                outlook.freeSlots -= slots;
                outlook.add({ forecast.firstEventIn + outlook.meanDecode, share, slots });
            }
        }
        return forecast;
    }

    bool hasEngines() const
    {
        return !m_outlooks.empty();
    }

private:
    // A prompt beyond one engine runs beside no latency-sensitive stream.
    static microseconds readyIn(const engine_outlook &outlook, bool exceedsOne)
    {
        return exceedsOne ? std::max(outlook.prefillEnds, outlook.sensitiveEnds) : outlook.prefillEnds;
    }

    engine_profile m_engine;
    time_point m_now;
    std::map<server_key, engine_outlook> m_outlooks;
    size_t m_works = 0;
};

} // namespace

std::optional<room_forecast> forecastRoom(const waiting_prompt &prompt,
    const waiting_prompts &waiting,
    const engine_profile &engine,
    const std::vector<placement_candidate> &candidates,
    const load_tracker &loads,
    time_point now)
{
    room_planner free(engine, candidates, now);
    if (!free.hasEngines()) {
        return std::nullopt;
    }
    loads.forEachWork([&](const server_work &work) {
        free.addWork(work);
    });
    const auto placeAs = [&](const waiting_prompt &ordered) {
        room_planner planner = free;
        const auto ahead = waiting.ahead(ordered, std::max(minCountedAhead, candidates.size()), now);
        for (const waiting_prompt &each : ahead) {
            planner.place(each.promptTokens, each.memoryTokens);
        }
        room_forecast forecast = planner.place(prompt.promptTokens, prompt.memoryTokens);
        forecast.ahead = ahead.size();
        return forecast;
    };
    const room_forecast onTime = placeAs(prompt);
    const auto left = duration_cast<microseconds>(prompt.firstEventDueAt - now);
    if (onTime.firstEventIn <= duration_cast<microseconds>(left * onTimeShare)) {
        return onTime;
    }
    waiting_prompt late = prompt;
    late.firstEventDueAt = now;
    room_forecast forecast = placeAs(late);
    // A late prompt also waits for those that arrive meanwhile and can be on time.
    microseconds arriving{ 0 };
    for (const waiting_prompt &each : waiting.ahead(late, std::numeric_limits<size_t>::max(), now)) {
        arriving += now - each.arrivedAt < arrivalWindow ? prefillTime(engine, each.promptTokens) : microseconds(0);
    }
    const microseconds available = arrivalWindow * static_cast<std::int64_t>(forecast.engines);
    if (arriving >= available) {
        forecast.capacityIn = forecast.firstEventIn = never;
    }
    return forecast;
}

bool isWaitInVain(const room_forecast &forecast, const waiting_prompt &prompt, time_point now)
{
    const time_point firstEventAt = now + forecast.firstEventIn;
    const time_point waitsUntil = prompt.arrivedAt + (prompt.callerLeavesAt - prompt.arrivedAt) / 2;
    const bool isLate = firstEventAt > prompt.firstEventDueAt;
    return isLate && (firstEventAt > prompt.callerLeavesAt || now + forecast.capacityIn > waitsUntil);
}

milliseconds retryAfter(const room_forecast &forecast, milliseconds timeLeft, double point)
{
    const double longest = static_cast<double>(timeLeft.count()) / 3.0 / (1.0 + retryJitter);
    const double freeIn = std::min(static_cast<double>(duration_cast<milliseconds>(forecast.capacityIn).count()), longest);
    return milliseconds(static_cast<std::int64_t>(std::max(freeIn, 0.0) * (1.0 + retryJitter * point)));
}

} // namespace mustardtrail::gateway
