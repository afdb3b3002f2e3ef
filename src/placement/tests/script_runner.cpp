#include "placement/tests/script_runner.h"

#include "base/hash.h"

#include <sstream>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace mustardtrail::placement::tests
{

namespace
{

using std::chrono::milliseconds;

/// Start of a script on the test clock; above zero since scripts may use times before their start.
constexpr std::chrono::hours scriptStart{ 1 };

time_point at(milliseconds time)
{
    return time_point(scriptStart) + time;
}

std::int64_t msOf(time_point time)
{
    return std::chrono::duration_cast<milliseconds>(time - time_point(scriptStart)).count();
}

config::backend_server server(const char *id, config::backend_server_kind kind)
{
    config::backend_server result;
    result.id = backend_server_id(id);
    result.kind = kind;
    result.dataCentre = data_centre_id("dc1");
    result.coldRequests = 2;
    result.warmRequests = kind == config::backend_server_kind::engine ? 8 : 4;
    if (kind == config::backend_server_kind::engine) {
        result.models = { model_id("m") };
        result.memoryTokens = 100000;
    } else {
        result.service = service_id("portal");
    }
    return result;
}

std::string show(const owner_action &action)
{
    std::ostringstream out;
    if (const auto *send = std::get_if<dispatch_attempt>(&action)) {
        out << "dispatch " << send->work.attempt << " backend=" << send->backend << " fencing=" << send->fencingNumber
            << " priority=" << send->priority << " not_after=" << msOf(send->notAfter);
    } else if (const auto *refusal = std::get_if<refuse_attempt>(&action)) {
        out << "refuse " << refusal->attempt << " code=" << toString(refusal->failure.code)
            << " verdict=" << toString(refusal->failure.outcome);
        if (refusal->failure.retryAfter) {
            out << " retry_after=" << refusal->failure.retryAfter->count();
        }
        out << (refusal->failure.detail.empty() ? "" : " ") << refusal->failure.detail;
    } else if (const auto *cancel = std::get_if<cancel_at_backend>(&action)) {
        out << "cancel " << cancel->attempt << " backend=" << cancel->backend;
    }
    return out.str() + "\n";
}

bool contains(const std::vector<std::string> &list, const std::string &wanted)
{
    return std::find(list.begin(), list.end(), wanted) != list.end();
}

} // namespace

std::string script_runner::run(const std::string &text)
{
    const script_line line = readScriptLine(text);
    m_now = at(line.at);
    std::string result;
    for (const owner_action &action : carryOut(line, result)) {
        result += show(action);
    }
    return result;
}

std::string script_runner::runAll(const std::vector<std::string> &lines)
{
    std::string result;
    for (const std::string &line : lines) {
        result += run(line);
    }
    return result;
}

std::int64_t script_runner::stateOf(const std::string &backend, const std::string &member, milliseconds time)
{
    const auto dump = m_scheduler.dump(at(time));
    for (const auto &entry : dump.as_object().at("backend_servers").as_array()) {
        if (entry.as_object().at("id").as_string() == backend) {
            return entry.as_object().at(member).to_number<std::int64_t>();
        }
    }
    return -1;
}

owner_action_list script_runner::carryOut(const script_line &line, std::string &text)
{
    const attempt_id attempt(line.text("id"));
    const backend_server_id backend(line.text("backend"));
    if (line.verb == "view") {
        return m_scheduler.setView(viewOf(line), m_now);
    }
    if (line.verb == "admit") {
        std::vector<backend_server_id> excluded;
        for (const std::string &name : line.list("excluded")) {
            excluded.emplace_back(name);
        }
        return m_scheduler.admit(workOf(line), excluded, m_now);
    }
    if (line.verb == "first") {
        return m_scheduler.onFirstToken(attempt, m_now);
    }
    if (line.verb == "finished") {
        return m_scheduler.onFinished(attempt, m_now);
    }
    if (line.verb == "failed") {
        error failure;
        failure.code = static_cast<error_code>(line.number("code", 5002));
        failure.outcome = verdict::may_have_run;
        return m_scheduler.onFailed(attempt, failure, m_now);
    }
    if (line.verb == "cancel") {
        return m_scheduler.cancel(attempt, m_now);
    }
    if (line.verb == "report") {
        return m_scheduler.onReport(reportOf(line), m_now);
    }
    if (line.verb == "event") {
        const auto kind = line.text("kind", "stored") == "stored" ? cache_event_kind::stored : cache_event_kind::evicted;
        const auto sequence = static_cast<std::uint64_t>(line.number("seq", 0));
        return m_scheduler.onCacheEvent(backend, { sequence, kind, static_cast<std::uint64_t>(line.number("prefix", 0)) }, m_now);
    }
    if (line.verb == "hold") {
        const auto until = at(line.time("until", line.at));
        const bool held = m_scheduler.holdMemory(line.text("group"), backend, line.number("tokens", 0), until, m_now);
        text += held ? "held\n" : "not held\n";
        return {};
    }
    if (line.verb == "release") {
        return m_scheduler.releaseMemory(line.text("group"), m_now);
    }
    if (line.verb == "tick") {
        return m_scheduler.onTick(m_now);
    }
    text += line.verb == "summary" ? summaryText() : stateText(line);
    return {};
}

std::shared_ptr<const membership::fleet_view> script_runner::viewOf(const script_line &line) const
{
    auto configuration = std::make_shared<config::configuration>();
    auto view = std::make_shared<membership::fleet_view>();
    for (const char *name : { "g1", "g2", "s1" }) {
        const auto kind = name[0] == 'g' ? config::backend_server_kind::engine : config::backend_server_kind::service;
        configuration->backendServers[backend_server_id(name)] = server(name, kind);
        membership::backend_assignment assignment;
        assignment.owner = instance_id(contains(line.list("lost"), name) ? "e2" : "e1");
        assignment.acceptsNewWork = !contains(line.list("drained"), name);
        assignment.ownedSince = at(line.time("since", milliseconds(-60000)));
        assignment.fencingNumber = static_cast<std::uint64_t>(line.number("fencing", 1));
        view->backends[backend_server_id(name)] = assignment;
    }
    view->config = std::move(configuration);
    view->self = instance_id("e1");
    view->selfDataCentre = data_centre_id("dc1");
    view->isolated = line.number("isolated", 0) != 0;
    view->selfLeaving = line.number("leaving", 0) != 0;
    view->confirmedAt = at(line.time("confirmed", line.at));
    return view;
}

work_item script_runner::workOf(const script_line &line) const
{
    work_item work;
    work.attempt = attempt_id(line.text("id"));
    work.request = request_id(line.text("id"));
    work.customer = customer_id(line.text("customer", "c1"));
    work.workClass = class_id(line.text("class", "lookup"));
    if (line.text("service").empty()) {
        work.model = model_id(line.text("model", "m"));
        work.promptTokens = line.number("tokens", 1000);
        work.maxNewTokens = line.number("new", 100);
    } else {
        work.service = service_id(line.text("service"));
    }
    work.prefixHash = hash64(line.text("prefix", "p"));
    work.arrival = m_now;
    work.firstTokenDeadline = m_now + line.time("target", milliseconds(1000));
    work.deadline = work.firstTokenDeadline + std::chrono::seconds(60);
    return work;
}

engine_report script_runner::reportOf(const script_line &line) const
{
    engine_report report;
    report.backend = backend_server_id(line.text("backend"));
    report.incarnation = static_cast<std::uint64_t>(line.number("incarnation", 1));
    report.takenAt = m_now - line.time("lag", milliseconds(0));
    report.warm = line.number("warm", 1) != 0;
    report.runningRequests = static_cast<int>(line.number("running", 0));
    report.queuedPrefillTokens = line.number("queued", 0);
    report.memoryTokens = line.number("memory", 100000);
    report.usedTokens = line.number("used", 0);
    report.prefillTokensPerSecond = static_cast<double>(line.number("rate", 20000));
    report.highestFencingNumber = static_cast<std::uint64_t>(line.number("fencing", 1));
    for (const std::string &item : line.list("streams")) {
        const auto parts = split(item, ':');
        report.streams.push_back({ attempt_id(parts.at(0)), std::stoll(parts.at(1)), std::stoull(parts.at(2)) });
    }
    return report;
}

std::string script_runner::stateText(const script_line &line)
{
    const std::string backend = line.text("backend");
    std::ostringstream out;
    out << "state " << backend;
    for (const char *member : { "limit", "running", "foreign_requests", "free_tokens", "known_prefixes" }) {
        out << ' ' << member << '=' << stateOf(backend, member, line.at);
    }
    return out.str() + "\n";
}

std::string script_runner::summaryText()
{
    std::ostringstream out;
    for (const pool_summary &pool : m_scheduler.summary(m_now).pools) {
        out << "summary " << pool.pool.name << " free_tokens=" << pool.freeTokens << " queued=" << pool.queuedPrefillTokens
            << " rate=" << pool.prefillTokensPerSecond << " free_requests=" << pool.freeRequests
            << " short=" << pool.shortFirstToken.count() << " long=" << pool.longFirstToken.count() << '\n';
    }
    return out.str();
}

} // namespace mustardtrail::placement::tests
