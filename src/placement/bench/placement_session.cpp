#include "placement/bench/fake_engine.h"
#include "placement/bench/session.h"
#include "placement/owner_scheduler.h"
#include "placement/router.h"

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_map>

namespace mustardtrail::placement::bench
{

namespace
{

constexpr std::chrono::microseconds toEngine{ 200 };
constexpr std::chrono::milliseconds viewInterval{ 200 };

/// Simulates entry instances with their routers and schedulers, the engines, and the messages between them.
class placement_session
{
public:
    placement_session(const session_options &options, const std::vector<arrival> &workload);
    session_outcome run();

private:
    struct entry {
        explicit entry(const placement_options &placement)
            : origin(placement)
        {
        }
        std::shared_ptr<membership::fleet_view> view;
        router origin;
        std::unique_ptr<owner_scheduler> owner;
        std::optional<time_point> wakeAt;
    };
    struct open_request {
        request_outcome outcome;
        std::size_t owner = 0;
        bool reroutedOnce = false;
    };

    void makeEngines();
    void spreadFaults(int count, const std::function<void(std::size_t engine)> &fault);
    void makeEntries();
    void confirmView(std::size_t number);
    void publishSummary(std::size_t number);
    void answerWithSummary(std::size_t owner, std::size_t origin);
    void publishReport(std::size_t engine);
    void arrive(const arrival &next);
    void forward(const attempt_id &attempt, const route_exclusions &excluded);
    void carryOut(std::size_t number, const owner_action_list &actions);
    void onRefused(std::size_t number, const refuse_attempt &refusal);
    void finishRefused(open_request &request);
    void armWake(std::size_t number);
    std::chrono::nanoseconds hop(std::size_t from, std::size_t to) const;

    const session_options &m_options;
    const std::vector<arrival> &m_workload;
    event_loop m_loop;
    time_point m_start;
    std::vector<std::unique_ptr<fake_engine>> m_engines;
    std::map<backend_server_id, std::size_t> m_engineNumbers;
    std::vector<std::unique_ptr<entry>> m_entries;
    std::map<instance_id, std::size_t> m_entryNumbers;
    std::unordered_map<attempt_id, open_request> m_open;
};

placement_session::placement_session(const session_options &options, const std::vector<arrival> &workload)
    : m_options(options)
    , m_workload(workload)
    , m_start(m_loop.now())
{
    makeEngines();
    makeEntries();
}

void placement_session::makeEngines()
{
    for (std::size_t number = 0; number < m_options.shape.engines; ++number) {
        fake_engine::observer observer;
        observer.firstToken = [this](const work_item &work) {
            open_request &request = m_open.at(work.attempt);
            const auto back = toEngine + hop(request.owner, request.outcome.asked.entry) + m_options.shape.toClient;
            request.outcome.firstToken = m_loop.now() + back - (m_start + request.outcome.asked.at);
            m_loop.after(toEngine, [this, attempt = work.attempt, owner = request.owner] {
                carryOut(owner, m_entries[owner]->owner->onFirstToken(attempt, m_loop.now()));
                answerWithSummary(owner, m_open.at(attempt).outcome.asked.entry);
            });
        };
        observer.finished = [this](const work_item &work) {
            const std::size_t owner = m_open.at(work.attempt).owner;
            m_loop.after(toEngine, [this, attempt = work.attempt, owner] {
                carryOut(owner, m_entries[owner]->owner->onFinished(attempt, m_loop.now()));
            });
        };
        observer.dropped = [this](const work_item &work) {
            const std::size_t owner = m_open.at(work.attempt).owner;
            m_loop.after(toEngine, [this, attempt = work.attempt, owner] {
                const error lost{ error_code::backend_connection_lost, verdict::may_have_run, "", std::nullopt };
                carryOut(owner, m_entries[owner]->owner->onFailed(attempt, lost, m_loop.now()));
            });
        };
        m_engines.push_back(std::make_unique<fake_engine>(m_loop, engineName(number), observer));
        m_engineNumbers[engineName(number)] = number;
        m_loop.after(m_options.reportInterval * (number + 1) / m_options.shape.engines, [this, number] {
            publishReport(number);
        });
    }
    spreadFaults(m_options.unreportedColds, [this](std::size_t engine) {
        m_engines[engine]->turnCold();
    });
    spreadFaults(m_options.restarts, [this](std::size_t engine) {
        m_engines[engine]->restart();
    });
}

void placement_session::spreadFaults(int count, const std::function<void(std::size_t engine)> &fault)
{
    for (int number = 0; number < count; ++number) {
        const auto when = m_options.warmUp + m_options.measured * number / count;
        m_loop.after(when, [this, number, fault] {
            fault(static_cast<std::size_t>(number) % m_engines.size());
        });
    }
}

void placement_session::makeEntries()
{
    for (std::size_t number = 0; number < m_options.shape.entries; ++number) {
        m_entryNumbers[entryName(number)] = number;
        m_entries.push_back(std::make_unique<entry>(m_options.placement));
        m_entries.back()->view = makeView(m_options.shape, number, m_start);
        m_entries.back()->owner = std::make_unique<owner_scheduler>(m_options.placement);
        confirmView(number);
        m_loop.after(m_options.summaryInterval * (number + 1) / m_options.shape.entries, [this, number] {
            publishSummary(number);
        });
    }
}

void placement_session::confirmView(std::size_t number)
{
    entry &self = *m_entries[number];
    auto view = std::make_shared<membership::fleet_view>(*self.view);
    view->confirmedAt = m_loop.now();
    self.origin.onView(view, m_loop.now());
    carryOut(number, self.owner->setView(view, m_loop.now()));
    m_loop.after(viewInterval, [this, number] {
        confirmView(number);
    });
}

void placement_session::publishSummary(std::size_t number)
{
    const owner_summary summary = m_entries[number]->owner->summary(m_loop.now());
    for (std::size_t other = 0; other < m_entries.size(); ++other) {
        m_loop.after(hop(number, other), [this, other, summary] {
            m_entries[other]->origin.onSummary(summary, m_loop.now());
        });
    }
    m_loop.after(m_options.summaryInterval, [this, number] {
        publishSummary(number);
    });
}

void placement_session::answerWithSummary(std::size_t owner, std::size_t origin)
{
    if (!m_options.summaryWithAnswers) {
        return;
    }
    const owner_summary summary = m_entries[owner]->owner->summary(m_loop.now());
    m_loop.after(hop(owner, origin), [this, origin, summary] {
        m_entries[origin]->origin.onSummary(summary, m_loop.now());
    });
}

void placement_session::publishReport(std::size_t engine)
{
    const engine_report report = m_engines[engine]->report();
    const std::size_t owner = m_entryNumbers.at(m_entries[0]->view->backends.at(report.backend).owner);
    m_loop.after(m_options.reportLag, [this, owner, report] {
        carryOut(owner, m_entries[owner]->owner->onReport(report, m_loop.now()));
    });
    m_loop.after(m_options.reportInterval, [this, engine] {
        publishReport(engine);
    });
}

void placement_session::arrive(const arrival &next)
{
    open_request &request = m_open[next.work.attempt];
    request.outcome.asked = next;
    // The target includes the network delay to and from the client.
    request.outcome.asked.work.arrival = m_loop.now();
    request.outcome.asked.work.firstTokenDeadline = m_loop.now() + next.target - 2 * m_options.shape.toClient;
    request.outcome.asked.work.deadline = m_loop.now() + 10 * next.target;
    forward(next.work.attempt, {});
}

void placement_session::forward(const attempt_id &attempt, const route_exclusions &excluded)
{
    open_request &request = m_open.at(attempt);
    const arrival &asked = request.outcome.asked;
    const auto target = m_entries[asked.entry]->origin.pick(asked.work, excluded, m_loop.now());
    if (!target) {
        finishRefused(request);
        return;
    }
    request.owner = m_entryNumbers.at(target->target);
    m_loop.after(hop(asked.entry, request.owner), [this, attempt, owner = request.owner] {
        carryOut(owner, m_entries[owner]->owner->admit(m_open.at(attempt).outcome.asked.work, {}, m_loop.now()));
    });
}

void placement_session::carryOut(std::size_t number, const owner_action_list &actions)
{
    for (const owner_action &action : actions) {
        if (const auto *send = std::get_if<dispatch_attempt>(&action)) {
            const std::size_t engine = m_engineNumbers.at(send->backend);
            m_loop.after(toEngine, [this, engine, send = *send] {
                m_engines[engine]->submit(send.work, send.priority, send.fencingNumber);
            });
        } else if (const auto *refusal = std::get_if<refuse_attempt>(&action)) {
            onRefused(number, *refusal);
        }
    }
    armWake(number);
}

void placement_session::onRefused(std::size_t number, const refuse_attempt &refusal)
{
    const std::size_t origin = m_open.at(refusal.attempt).outcome.asked.entry;
    answerWithSummary(number, origin);
    m_loop.after(hop(number, origin), [this, number, attempt = refusal.attempt] {
        open_request &request = m_open.at(attempt);
        if (request.reroutedOnce) {
            finishRefused(request);
            return;
        }
        request.reroutedOnce = true;
        forward(attempt, { { entryName(number) }, {} });
    });
}

void placement_session::finishRefused(open_request &request)
{
    request.outcome.refusedAfter = m_loop.now() + m_options.shape.toClient - (m_start + request.outcome.asked.at);
}

void placement_session::armWake(std::size_t number)
{
    entry &self = *m_entries[number];
    const auto wake = self.owner->nextWake(m_loop.now());
    if (!wake || (self.wakeAt && *self.wakeAt <= *wake)) {
        return;
    }
    self.wakeAt = wake;
    m_loop.at(*wake, [this, number, at = *wake] {
        entry &woken = *m_entries[number];
        if (woken.wakeAt != at) {
            return;
        }
        woken.wakeAt.reset();
        carryOut(number, woken.owner->onTick(m_loop.now()));
    });
}

std::chrono::nanoseconds placement_session::hop(std::size_t from, std::size_t to) const
{
    if (from == to) {
        return std::chrono::nanoseconds(0);
    }
    constexpr std::chrono::microseconds inside{ 100 };
    return dataCentreOfEntry(from) == dataCentreOfEntry(to) ? inside : m_options.shape.betweenDataCentres;
}

session_outcome placement_session::run()
{
    for (const arrival &next : m_workload) {
        m_loop.at(m_start + next.at + m_options.shape.toClient, [this, &next] {
            arrive(next);
        });
    }
    m_loop.runUntil(m_start + m_options.warmUp + m_options.measured + m_options.coolDown);
    session_outcome outcome;
    outcome.measured = m_options.measured;
    for (const arrival &next : m_workload) {
        const auto found = m_open.find(next.work.attempt);
        if (next.at >= m_options.warmUp && next.at < m_options.warmUp + m_options.measured && found != m_open.end()) {
            outcome.requests.push_back(found->second.outcome);
        }
    }
    for (const auto &engine : m_engines) {
        outcome.coldOverloads += engine->coldOverloads();
    }
    return outcome;
}

} // namespace

session_outcome runPlacement(const session_options &options, const std::vector<arrival> &workload)
{
    return placement_session(options, workload).run();
}

} // namespace mustardtrail::placement::bench
