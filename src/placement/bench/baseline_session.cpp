#include "placement/bench/fake_engine.h"
#include "placement/bench/session.h"

#include <algorithm>
#include <memory>
#include <unordered_map>

namespace mustardtrail::placement::bench
{

namespace
{

constexpr std::uint64_t policySeed = 7;

double requestsPerSecondAt(int concurrency, std::uint64_t seed)
{
    constexpr std::chrono::seconds length{ 600 };
    event_loop loop;
    const auto workload = makeWorkload(1000, std::chrono::seconds(60), 1, true, seed);
    std::size_t next = 0;
    std::size_t finished = 0;
    std::unique_ptr<fake_engine> engine;
    fake_engine::observer observer;
    observer.firstToken = [](const work_item &) {};
    observer.finished = [&](const work_item &) {
        ++finished;
        engine->submit(workload[next++ % workload.size()].work, 0, 1);
    };
    engine = std::make_unique<fake_engine>(loop, engineName(0), observer);
    const time_point start = loop.now();
    for (int number = 0; number < concurrency; ++number) {
        engine->submit(workload[next++].work, 0, 1);
    }
    loop.runUntil(start + length);
    return static_cast<double>(finished) / static_cast<double>(length.count());
}

} // namespace

session_outcome runBaseline(const session_options &options, const std::vector<arrival> &workload, const baseline_policy &policy)
{
    event_loop loop;
    random_source random(policySeed);
    session_outcome outcome;
    outcome.measured = options.measured;
    const time_point start = loop.now();
    std::unordered_map<attempt_id, request_outcome> open;
    std::unordered_map<attempt_id, std::size_t> chosen;
    std::vector<std::vector<int>> outstanding(options.shape.entries, std::vector<int>(options.shape.engines));
    std::vector<std::unique_ptr<fake_engine>> engines;
    const auto hop = options.shape.betweenDataCentres + options.shape.toClient;
    for (std::size_t number = 0; number < options.shape.engines; ++number) {
        fake_engine::observer observer;
        observer.firstToken = [&](const work_item &work) {
            open.at(work.attempt).firstToken = loop.now() + hop - work.arrival;
        };
        observer.finished = [&](const work_item &work) {
            --outstanding[open.at(work.attempt).asked.entry][chosen.at(work.attempt)];
        };
        engines.push_back(std::make_unique<fake_engine>(loop, engineName(number), observer));
    }
    for (const arrival &next : workload) {
        loop.at(start + next.at, [&, asked = &next] {
            arrival next = *asked;
            next.work.arrival = loop.now();
            open[next.work.attempt] = { next, std::nullopt, std::nullopt };
            const std::size_t engine = policy(outstanding[next.entry], random);
            chosen[next.work.attempt] = engine;
            ++outstanding[next.entry][engine];
            loop.after(hop, [&engines, engine, work = next.work] {
                engines[engine]->submit(work, 0, 1);
            });
        });
    }
    loop.runUntil(start + options.warmUp + options.measured + options.coolDown);
    for (const arrival &next : workload) {
        if (next.at >= options.warmUp && next.at < options.warmUp + options.measured) {
            outcome.requests.push_back(open.at(next.work.attempt));
        }
    }
    return outcome;
}

baseline_policy randomPolicy()
{
    return [](const std::vector<int> &own, random_source &random) {
        return random.below(own.size());
    };
}

baseline_policy roundRobinPolicy()
{
    return [next = std::size_t{ 0 }](const std::vector<int> &own, random_source &) mutable {
        return next++ % own.size();
    };
}

baseline_policy leastOutstandingPolicy()
{
    return [](const std::vector<int> &own, random_source &random) {
        // Ties are broken at random, since otherwise all entry instances would choose the same engine.
        std::size_t best = random.below(own.size());
        for (std::size_t engine = 0; engine < own.size(); ++engine) {
            best = own[engine] < own[best] ? engine : best;
        }
        return best;
    };
}

baseline_policy twoRandomChoicesPolicy()
{
    return [](const std::vector<int> &own, random_source &random) {
        const std::size_t first = random.below(own.size());
        const std::size_t second = random.below(own.size());
        return own[first] <= own[second] ? first : second;
    };
}

double requestsPerSecondOfOneEngine(std::uint64_t seed)
{
    double best = 0;
    for (const int concurrency : { 4, 8, 16, 24, 32, 48 }) {
        best = std::max(best, requestsPerSecondAt(concurrency, seed));
    }
    return best;
}

} // namespace mustardtrail::placement::bench
