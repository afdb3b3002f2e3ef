#include "request/tests/session.h"

#include "request/key_codec.h"
#include "request/tests/fixture.h"
#include "request/tests/trace.h"

#include <boost/json/serialize.hpp>

#include <stdexcept>

namespace mustardtrail::request::testing
{

namespace
{

template<typename value> value read(std::istringstream &line)
{
    value result{};
    if (!(line >> result)) {
        throw std::runtime_error("argument missing: " + line.str());
    }
    return result;
}

std::string word(std::istringstream &line)
{
    return read<std::string>(line);
}

verdict readVerdict(std::istringstream &line)
{
    return verdictFromString(word(line)).value();
}

error_code readCode(std::istringstream &line)
{
    return errorCodeFromString(word(line)).value();
}

std::optional<request_event> readAttemptEvent(const std::string &command, std::istringstream &line)
{
    if (command == "gone") {
        return caller_gone{ request_id(word(line)) };
    }
    if (command == "accepted") {
        const attempt_id attempt(word(line));
        return attempt_accepted{ attempt, backend_server_id(word(line)) };
    }
    if (command == "output") {
        const std::string attempt = word(line);
        const auto sequence = read<std::uint64_t>(line);
        return makeOutput(attempt, sequence, word(line));
    }
    if (command == "finished") {
        const attempt_id attempt(word(line));
        const auto chunks = read<std::uint64_t>(line);
        return attempt_finished{ attempt, chunks, word(line) };
    }
    if (command == "failed") {
        const std::string attempt = word(line);
        const error_code code = readCode(line);
        const verdict outcome = readVerdict(line);
        std::string backend;
        line >> backend;
        return makeFailure(attempt, code, outcome, backend);
    }
    return std::nullopt;
}

std::optional<backend_event> readBackendEvent(const std::string &command, std::istringstream &line)
{
    if (command == "abandoned") {
        return attempt_abandoned{};
    }
    if (command == "acknowledged") {
        return cancel_acknowledged{};
    }
    const int connection = read<int>(line);
    if (command == "ready") {
        return connection_ready{ connection };
    }
    if (command == "sent") {
        return request_sent{ connection };
    }
    if (command == "alive") {
        return backend_alive{ connection };
    }
    if (command == "lost") {
        return connection_lost{ connection };
    }
    if (command == "chunk") {
        const auto sequence = read<std::uint64_t>(line);
        return backend_chunk{ connection, sequence, word(line), 1 };
    }
    if (command == "finished") {
        const auto chunks = read<std::uint64_t>(line);
        return backend_finished{ connection, chunks, word(line) };
    }
    if (command == "refused") {
        const int status = read<int>(line);
        const std::string started = word(line);
        return backend_refused{ connection, status, started == "-" ? std::nullopt : std::optional(started == "started"), {} };
    }
    return std::nullopt;
}

} // namespace

session::session()
{
    for (const char *name : { "e1", "e2", "e3" }) {
        startNode(name, at(0));
    }
}

std::string session::run(const std::string &script)
{
    std::istringstream lines(script);
    for (std::string text; std::getline(lines, text);) {
        if (text.empty() || text.front() == '#') {
            m_out << text << '\n';
        } else if (text.front() == '>') {
            m_out << text << '\n';
            std::istringstream line(text.substr(1));
            runInput(line);
        }
    }
    return m_out.str();
}

void session::runInput(std::istringstream &line)
{
    const time_point now = at(read<int>(line));
    const std::string name = word(line);
    const std::string command = word(line);
    if (m_nodes.contains(name)) {
        return runNode(name, command, line, now);
    }
    runAttempt(name, command, line, now);
}

void session::startNode(const std::string &name, time_point now)
{
    node started;
    started.core = makeCore(name);
    started.home = std::make_unique<key_home>(key_home_options{}, instance_id(name));
    started.home->onView(makeView(name, now));
    m_nodes[name] = std::move(started);
    ++m_incarnations[name];
}

void session::handOverKeys(const std::string &name, const std::vector<key_handover> &handovers, time_point now)
{
    for (const key_handover &handover : handovers) {
        const boost::json::value message = toJson(handover);
        m_out << "  " << name << ": key_handover " << boost::json::serialize(message) << '\n';
        m_nodes.at(handover.home.str()).home->acceptHandover(keyHandoverFromJson(message).value(), now);
    }
}

void session::runNode(const std::string &name, const std::string &command, std::istringstream &line, time_point now)
{
    const node &target = m_nodes.at(name);
    if (command == "request") {
        return fillRequest(name, line, now);
    }
    if (command == "tick") {
        return write(name, target.core->onTick(now));
    }
    if (command == "view") {
        std::vector<std::string> dead;
        for (std::string id; line >> id;) {
            dead.push_back(id);
        }
        const auto view = makeView(name, now, dead);
        for (auto &[id, peer] : view->peers) {
            peer.incarnation = m_incarnations.at(id.str());
        }
        target.home->onView(view);
        handOverKeys(name, target.home->handOverToNewHomes(now), now);
        return write(name, target.core->onView(view, now));
    }
    if (command == "stop") {
        handOverKeys(name, target.home->handOver(now), now);
        return target.core->beginStop(now);
    }
    if (command == "restart") {
        return startNode(name, now);
    }
    if (command == "deliver") {
        return deliver(now);
    }
    if (command == "lose") {
        return m_keyMessages.clear();
    }
    const std::optional<request_event> event = readAttemptEvent(command, line);
    if (!event) {
        throw std::runtime_error("unknown command: " + command);
    }
    write(name, target.core->handle(*event, now));
}

void session::fillRequest(const std::string &name, std::istringstream &line, time_point now)
{
    const std::string id = word(line);
    caller_request request = word(line) == "lookup" ? makeLookup(id) : makeDeposit(id);
    for (std::string option; line >> option;) {
        const std::string value = option.substr(option.find('=') + 1);
        if (option.starts_with("key=")) {
            request.idempotencyKey = value;
        } else if (option.starts_with("fingerprint=")) {
            request.fingerprint = std::stoull(value);
        } else if (option.starts_with("max=")) {
            request.maxNewTokens = std::stoll(value);
        } else if (option == "service") {
            request.model = {};
            request.service = service_id("orders");
        } else if (option == "second") {
            request.callerRetry = true;
        } else {
            throw std::runtime_error("unknown option: " + option);
        }
    }
    write(name, m_nodes.at(name).core->handle(request, now));
}

void session::deliver(time_point now)
{
    while (!m_keyMessages.empty()) {
        const key_message message = m_keyMessages.front();
        m_keyMessages.pop_front();
        if (const auto *outcome = std::get_if<send_key_outcome>(&message.action)) {
            m_nodes.at(outcome->home.str()).home->recordOutcome(outcome->outcome, now);
            continue;
        }
        const auto &claim = std::get<send_key_claim>(message.action);
        const key_claim_reply reply = m_nodes.at(claim.home.str()).home->claim(claim.claim, now);
        write(message.from.str(), m_nodes.at(message.from.str()).core->handle(reply, now));
    }
}

void session::runAttempt(const std::string &name, const std::string &command, std::istringstream &line, time_point now)
{
    if (command == "open") {
        const auto kind = word(line) == "engine" ? backend_attempt::kind::engine : backend_attempt::kind::service;
        const backend_server_id backend(word(line));
        const time_point deadline = at(read<int>(line));
        const auto added = m_attempts.emplace(name, backend_attempt({}, kind, attempt_id(name), backend, deadline));
        return write(added.first->second.start(now));
    }
    backend_attempt &attempt = m_attempts.at(name);
    if (command == "tick") {
        return write(attempt.onTick(now));
    }
    const std::optional<backend_event> event = readBackendEvent(command, line);
    if (!event) {
        throw std::runtime_error("unknown command: " + command);
    }
    write(attempt.handle(*event, now));
}

void session::write(const std::string &name, const request_core::actions &actions)
{
    for (const request_action &action : actions) {
        m_out << "  " << name << ": " << toLine(action) << '\n';
        if (std::holds_alternative<send_key_claim>(action) || std::holds_alternative<send_key_outcome>(action)) {
            m_keyMessages.push_back({ instance_id(name), action });
        }
    }
}

void session::write(const backend_actions &actions)
{
    for (const backend_action &action : actions) {
        m_out << "  " << toLine(action) << '\n';
    }
}

} // namespace mustardtrail::request::testing
