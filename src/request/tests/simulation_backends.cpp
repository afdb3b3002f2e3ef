#include "request/tests/simulation.h"

#include "request/tests/fixture.h"
#include "request/tests/simulated_answer.h"

#include <algorithm>

namespace mustardtrail::request::testing
{

void simulation::act(const std::string &name, const start_attempt &action)
{
    after(delay(10), [this, name, action] {
        openAttempt(name, action);
    });
}

void simulation::act(const std::string &name, const cancel_attempt &action)
{
    const std::string id = action.attempt.str();
    after(delay(10), [this, name, id] {
        if (m_attempts.contains(id) && isReachable(name, m_attempts.at(id).owner)) {
            runAttempt(id, [this](backend_attempt &attempt) {
                return attempt.handle(attempt_abandoned{}, m_now);
            });
        }
    });
}

void simulation::openAttempt(const std::string &origin, const start_attempt &action)
{
    const std::string id = action.work.attempt.str();
    const std::string owner = action.target.str();
    if (!m_nodes.at(owner).alive || !isReachable(origin, owner)) {
        const error failure{ error_code::peer_connect_failed, verdict::not_run, "", {} };
        return sendEvent(origin, origin, attempt_failed{ action.work.attempt, failure, {} });
    }
    const bool service = !action.work.service.empty();
    backend_server_id chosen;
    const auto view = makeView(owner, m_now);
    for (const auto &[backend, assignment] : view->backends) {
        const bool excluded = std::find(action.excluded.begin(), action.excluded.end(), backend) != action.excluded.end();
        const bool serves = (backend.str().front() == 's') == service;
        if (chosen.empty() && assignment.owner == action.target && serves && !excluded) {
            chosen = backend;
        }
    }
    if (chosen.empty()) {
        const error failure{ error_code::no_backend_server, verdict::not_run, "", {} };
        return sendEvent(origin, origin, attempt_failed{ action.work.attempt, failure, {} });
    }
    const auto kind = service ? backend_attempt::kind::service : backend_attempt::kind::engine;
    backend_attempt machine({}, kind, action.work.attempt, chosen, action.work.deadline);
    m_attempts.emplace(id, owned_attempt{ std::move(machine), owner, origin, action.work.request, action.deliveredTokens, false });
    runAttempt(id, [this](backend_attempt &attempt) {
        return attempt.start(m_now);
    });
}

void simulation::runAttempt(const std::string &id, const std::function<backend_actions(backend_attempt &)> &step)
{
    owned_attempt &attempt = m_attempts.at(id);
    if (attempt.stopped) {
        return;
    }
    for (const backend_action &action : step(attempt.machine)) {
        actOfOwner(id, action);
    }
    if (const std::optional<time_point> wake = attempt.machine.nextWake()) {
        m_steps.emplace(*wake, [this, id] {
            const std::optional<time_point> due = m_attempts.at(id).machine.nextWake();
            if (due && *due <= m_now) {
                runAttempt(id, [this](backend_attempt &machine) {
                    return machine.onTick(m_now);
                });
            }
        });
    }
}

void simulation::actOfOwner(const std::string &id, const backend_action &action)
{
    const owned_attempt &attempt = m_attempts.at(id);
    if (const auto *open = std::get_if<open_stream>(&action)) {
        return after(delay(10), [this, id, connection = open->connection] {
            serve(id, connection);
        });
    }
    if (const auto *resume = std::get_if<resume_stream>(&action)) {
        if (chance(30)) {
            return backendEvent(id, backend_refused{ resume->connection, chance(50) ? 404 : 503, {}, {} });
        }
        return stream(id, resume->connection, resume->from);
    }
    if (std::holds_alternative<cancel_stream>(action)) {
        return chance(80) ? backendEvent(id, cancel_acknowledged{}) : void();
    }
    if (const auto *accepted = std::get_if<attempt_accepted>(&action)) {
        return sendEvent(attempt.owner, attempt.origin, *accepted);
    }
    if (const auto *output = std::get_if<attempt_output>(&action)) {
        return sendEvent(attempt.owner, attempt.origin, *output);
    }
    if (const auto *finished = std::get_if<attempt_finished>(&action)) {
        return sendEvent(attempt.owner, attempt.origin, *finished);
    }
    sendEvent(attempt.owner, attempt.origin, std::get<attempt_failed>(action));
}

void simulation::backendEvent(const std::string &id, const backend_event &event)
{
    after(milliseconds(1) + delay(10), [this, id, event] {
        runAttempt(id, [&](backend_attempt &attempt) {
            return attempt.handle(event, m_now);
        });
    });
}

void simulation::serve(const std::string &id, int connection)
{
    owned_attempt &attempt = m_attempts.at(id);
    if (attempt.machine.isDone() || attempt.stopped || chance(6)) {
        return backendEvent(id, connection_lost{ connection });
    }
    runAttempt(id, [&](backend_attempt &machine) {
        return machine.handle(request_sent{ connection }, m_now);
    });
    if (chance(10)) {
        return backendEvent(id, backend_refused{ connection, 503, false, {} });
    }
    if (chance(5)) {
        return backendEvent(id, connection_lost{ connection });
    }
    record(trace_kind::effect, attempt.request.str());
    if (chance(5)) {
        return backendEvent(id, backend_refused{ connection, 503, {}, {} });
    }
    if (chance(5)) {
        return backendEvent(id, connection_lost{ connection });
    }
    if (chance(2)) {
        return; // The backend server never responds.
    }
    stream(id, connection, 0);
}

void simulation::stream(const std::string &id, int connection, std::uint64_t sequence)
{
    const owned_attempt &attempt = m_attempts.at(id);
    if (attempt.machine.isDone() || attempt.stopped) {
        return;
    }
    const token_count index = attempt.firstToken + static_cast<token_count>(sequence);
    const bool service = attempt.machine.backend().str().front() == 's';
    if (index >= answerLength(attempt.request, service)) {
        const std::uint64_t chunks = chance(3) ? sequence + 1 : sequence;
        return backendEvent(id, backend_finished{ connection, chunks, "stop" });
    }
    if (chance(4)) {
        return backendEvent(id, connection_lost{ connection });
    }
    if (chance(2)) {
        return backendEvent(id, backend_finished{ connection, sequence + 1, "stop" });
    }
    const std::string text = answerToken(attempt.request, index);
    runAttempt(id, [&](backend_attempt &machine) {
        return machine.handle(backend_chunk{ connection, sequence, text, 1 }, m_now);
    });
    after(milliseconds(1) + delay(15), [this, id, connection, sequence] {
        stream(id, connection, sequence + 1);
    });
}

} // namespace mustardtrail::request::testing
