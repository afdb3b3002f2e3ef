#include "node/tests/fake_backend.h"

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t enginePieces = 8;
constexpr std::chrono::milliseconds pieceTime = 10ms;
constexpr std::chrono::milliseconds slowPieceTime = 200ms;
constexpr std::chrono::milliseconds warmUp = 1500ms;
constexpr std::chrono::milliseconds coldReportTravel = 20ms;
constexpr token_count prefillPerMillisecond = 50;

std::string piece(const request_id &request, std::uint64_t index)
{
    return request.str() + "." + std::to_string(index) + " ";
}

} // namespace

std::string expectedAnswer(const request_id &request)
{
    std::string text;
    for (std::uint64_t index = 0; index < enginePieces; ++index) {
        text += piece(request, index);
    }
    return text;
}

fake_backend::fake_backend(config::backend_server server, timeline &time, session_trace &trace)
    : m_server(std::move(server))
    , m_time(time)
    , m_trace(trace)
{
}

const config::backend_server &fake_backend::server() const
{
    return m_server;
}

void fake_backend::setMood(backend_mood mood)
{
    m_mood = mood;
}

void fake_backend::arrive(const open_backend &request, to_owner reply, bool viewsAgree)
{
    const bool starts = m_mood != backend_mood::refuses && m_mood != backend_mood::drops_before_run;
    m_trace.runs.push_back({ m_time.now(), request.request, m_server.id, m_server.dataCentre, starts, beginOf(request) });
    if (m_mood == backend_mood::refuses) {
        return reply(request::backend_refused{ request.connection, 503, false, 50ms });
    }
    if (m_mood == backend_mood::drops_before_run) {
        return reply(request::connection_lost{ request.connection });
    }
    const bool drops = m_mood == backend_mood::drops_after_run;
    run(request, drops ? nullptr : reply);
    if (viewsAgree) {
        noteLoad();
    }
    if (drops) {
        disconnect(request.attempt);
        reply(request::connection_lost{ request.connection });
    }
}

void fake_backend::run(const open_backend &request, to_owner reply)
{
    stream &made = m_streams[request.attempt];
    made.request = request.request;
    made.fencingNumber = request.fencingNumber;
    m_highestFencingNumber = std::max(m_highestFencingNumber, request.fencingNumber);
    made.tokens = request.maxNewTokens + 1000;
    made.first = static_cast<std::uint64_t>(request.deliveredTokens);
    made.connection = request.connection;
    made.reply = std::move(reply);
    if (made.reply) {
        made.reply(request::backend_accepted{ request.connection });
    }
    const auto prefill = std::chrono::milliseconds(made.tokens / prefillPerMillisecond);
    m_time.after(prefill, [this, attempt = request.attempt, incarnation = m_incarnation] {
        makePiece(attempt, incarnation);
    });
}

void fake_backend::noteLoad()
{
    const bool isCold = m_time.now() < m_warmAt;
    const bool isKnown = m_coldReportedAt && m_time.now() > *m_coldReportedAt + coldReportTravel;
    if (isCold && isKnown && m_streams.size() > static_cast<size_t>(m_server.coldRequests)) {
        m_trace.overloads.push_back(m_server.id.str() + " runs " + std::to_string(m_streams.size()));
    }
}

void fake_backend::makePiece(const attempt_id &attempt, std::uint64_t incarnation)
{
    const auto found = m_streams.find(attempt);
    if (found == m_streams.end() || incarnation != m_incarnation) {
        return;
    }
    stream &made = found->second;
    if (made.first + made.made < enginePieces) {
        ++made.made;
        m_time.after(m_mood == backend_mood::slow ? slowPieceTime : pieceTime, [this, attempt, incarnation] {
            makePiece(attempt, incarnation);
        });
    }
    send(attempt);
}

void fake_backend::send(const attempt_id &attempt)
{
    const auto found = m_streams.find(attempt);
    if (found == m_streams.end() || !found->second.reply) {
        return;
    }
    stream &made = found->second;
    for (; made.sent < made.made; ++made.sent) {
        made.reply(request::backend_chunk{ made.connection, made.sent, piece(made.request, made.first + made.sent), 1 });
    }
    if (made.first + made.made == enginePieces) {
        made.reply(request::backend_finished{ made.connection, made.made, "stop" });
        m_streams.erase(found);
    }
}

void fake_backend::resume(const attempt_id &attempt, int connection, std::uint64_t from, to_owner reply)
{
    const auto found = m_streams.find(attempt);
    if (found == m_streams.end()) {
        return reply(request::backend_refused{ connection, 404, std::nullopt, std::nullopt });
    }
    found->second.connection = connection;
    found->second.sent = from;
    found->second.reply = std::move(reply);
    found->second.reply(request::backend_accepted{ connection });
    send(attempt);
}

void fake_backend::disconnect(const attempt_id &attempt)
{
    const auto found = m_streams.find(attempt);
    if (found == m_streams.end()) {
        return;
    }
    found->second.reply = nullptr;
    if (m_server.kind == config::backend_server_kind::service) {
        m_streams.erase(found);
    }
}

void fake_backend::breakConnection()
{
    for (auto &[attempt, stream] : m_streams) {
        if (stream.reply) {
            const to_owner reply = stream.reply;
            const int connection = stream.connection;
            disconnect(attempt);
            return reply(request::connection_lost{ connection });
        }
    }
}

void fake_backend::cancel(const attempt_id &attempt)
{
    m_streams.erase(attempt);
}

void fake_backend::restart()
{
    const auto lost = std::move(m_streams);
    m_streams.clear();
    ++m_incarnation;
    m_groups.clear();
    m_highestFencingNumber = 0;
    m_warmAt = m_time.now() + warmUp;
    m_coldReportedAt.reset();
    for (const auto &[attempt, stream] : lost) {
        if (stream.reply) {
            stream.reply(request::connection_lost{ stream.connection });
        }
    }
}

void fake_backend::chill()
{
    m_warmAt = m_time.now() + warmUp;
    m_coldReportedAt.reset();
}

placement::engine_report fake_backend::report()
{
    placement::engine_report report;
    report.backend = m_server.id;
    report.incarnation = m_incarnation;
    report.takenAt = m_time.now();
    report.warm = m_time.now() >= m_warmAt;
    report.runningRequests = static_cast<int>(m_streams.size());
    report.memoryTokens = m_server.memoryTokens;
    report.usedTokens = heldTokens();
    report.prefillTokensPerSecond = prefillPerMillisecond * 1000.0;
    report.highestFencingNumber = m_highestFencingNumber;
    report.decodeTokensPerSecond = 100;
    for (const auto &[attempt, stream] : m_streams) {
        report.streams.push_back({ attempt, stream.tokens, stream.fencingNumber });
    }
    if (!report.warm && !m_coldReportedAt) {
        m_coldReportedAt = m_time.now();
    }
    return report;
}

std::uint64_t fake_backend::highestFencingNumber() const
{
    return m_highestFencingNumber;
}

token_count fake_backend::heldTokens() const
{
    token_count held = 0;
    for (const auto &[attempt, stream] : m_streams) {
        held += stream.tokens;
    }
    for (const auto &[group, kept] : m_groups) {
        held += kept.leaseEnd > m_time.now() ? kept.tokens : 0;
    }
    return held;
}

} // namespace mustardtrail::node::testing
