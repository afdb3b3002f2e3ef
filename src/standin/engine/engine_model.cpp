#include "standin/engine/engine_model.h"

#include "standin/engine/answer_text.h"

#include <boost/json/array.hpp>

#include <algorithm>

namespace mustardtrail::standin
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds reportInterval{ 50 };
constexpr size_t keptReports = 400;
constexpr size_t keptEvents = 10'000;

const char *nameOf(stream_state state)
{
    switch (state) {
    case stream_state::queued:
        return "queued";
    case stream_state::prefilling:
    case stream_state::decoding:
        return "running";
    default:
        return "done";
    }
}

} // namespace

engine_model::engine_model(engine_options engineOptions, std::uint64_t incarnation)
    : options(std::move(engineOptions))
    , m_incarnation(incarnation)
{
}

std::uint64_t engine_model::incarnation() const
{
    return m_incarnation;
}

int engine_model::runningCount() const
{
    return static_cast<int>(std::count_if(m_streams.begin(), m_streams.end(), [](const auto &entry) {
        return !entry.second->isOver();
    }));
}

token_count engine_model::usedTokens() const
{
    token_count used = 0;
    for (const auto &[attempt, stream] : m_streams) {
        used += stream->heldTokens();
    }
    for (const auto &[name, group] : m_groups) {
        used += group.reservedTokens;
    }
    return used;
}

engine_model::stream_pointer engine_model::submit(engine_stream request, std::string &reason)
{
    if (refusing) {
        reason = "refusing";
        return nullptr;
    }
    if (m_streams.contains(request.attempt)) {
        ++m_duplicates;
        reason = "duplicate";
        return nullptr;
    }
    if (!request.memoryIsReserved && request.promptTokens + request.maxNewTokens > options.memoryTokens) {
        reason = "too_long";
        return nullptr;
    }
    const bool isCached = std::find(m_prefixes.begin(), m_prefixes.end(), request.prefix) != m_prefixes.end();
    const token_count cached = isCached ? options.cachedPrefixTokens : 0;
    request.order = ++m_nextOrder;
    request.prefillLeft = request.memoryIsReserved ? 0 : static_cast<double>(std::max<token_count>(1, request.promptTokens - cached));
    highestFencing = std::max(highestFencing, request.fencingNumber);
    const auto stream = std::make_shared<engine_stream>(std::move(request));
    m_streams[stream->attempt] = stream;
    ++m_requests;
    const int running = runningCount();
    m_mostAtOnce = std::max<std::int64_t>(m_mostAtOnce, running);
    if (!m_warm) {
        m_mostAtOnceCold = std::max<std::int64_t>(m_mostAtOnceCold, running);
    }
    if (!m_warm && running > options.coldRequests) {
        ++m_fallenOver;
        restart();
        reason = "full";
        return nullptr;
    }
    startQueued();
    return stream;
}

bool engine_model::cancel(const std::string &attempt)
{
    const auto found = m_streams.find(attempt);
    if (found == m_streams.end()) {
        return false;
    }
    if (!found->second->isOver()) {
        found->second->state = stream_state::dropped;
    }
    m_streams.erase(found);
    startQueued();
    return true;
}

engine_model::stream_pointer engine_model::find(const std::string &attempt) const
{
    const auto found = m_streams.find(attempt);
    return found == m_streams.end() ? nullptr : found->second;
}

bool engine_model::reserve(const std::string &group, token_count tokens, time_point leaseEnd)
{
    const auto found = m_groups.find(group);
    const token_count already = found == m_groups.end() ? 0 : found->second.reservedTokens;
    if (usedTokens() - already + tokens > options.memoryTokens) {
        return false;
    }
    kv_group &kept = m_groups[group];
    kept.group = group;
    kept.reservedTokens = std::max(already, tokens);
    kept.leaseEnd = leaseEnd;
    return true;
}

kv_group *engine_model::findGroup(const std::string &group)
{
    const auto found = m_groups.find(group);
    return found == m_groups.end() ? nullptr : &found->second;
}

bool engine_model::releaseGroup(const std::string &group)
{
    const bool known = m_groups.erase(group) > 0;
    startQueued();
    return known;
}

void engine_model::dropStreams()
{
    for (auto &[attempt, stream] : m_streams) {
        if (!stream->isOver()) {
            stream->state = stream_state::dropped;
        }
    }
    m_streams.clear();
}

void engine_model::restart()
{
    dropStreams();
    m_groups.clear();
    m_prefixes.clear();
    ++m_incarnation;
    turnCold();
}

void engine_model::turnCold()
{
    m_warm = false;
    m_completedSinceCold = 0;
}

void engine_model::startQueued()
{
    std::vector<engine_stream *> queued;
    for (auto &[attempt, stream] : m_streams) {
        if (stream->state == stream_state::queued) {
            queued.push_back(stream.get());
        }
    }
    std::sort(queued.begin(), queued.end(), [](const auto *left, const auto *right) {
        return std::pair(left->priority, left->order) < std::pair(right->priority, right->order);
    });
    for (engine_stream *stream : queued) {
        const token_count wanted = stream->memoryIsReserved ? 0 : stream->promptTokens + stream->maxNewTokens;
        if (usedTokens() + wanted <= options.memoryTokens) {
            stream->state = stream_state::prefilling;
        }
    }
}

engine_stream *engine_model::nextToPrefill()
{
    engine_stream *best = nullptr;
    for (auto &[attempt, stream] : m_streams) {
        if (stream->state != stream_state::prefilling) {
            continue;
        }
        if (best == nullptr || std::pair(stream->priority, stream->order) < std::pair(best->priority, best->order)) {
            best = stream.get();
        }
    }
    return best;
}

void engine_model::prefill(double tokens)
{
    while (tokens > 0) {
        engine_stream *stream = nextToPrefill();
        if (stream == nullptr) {
            return;
        }
        const double step = std::min({ tokens, stream->prefillLeft, static_cast<double>(options.chunkTokens) });
        stream->prefillLeft -= step;
        tokens -= step;
        if (stream->prefillLeft <= 0) {
            stream->state = stream_state::decoding;
            stream->decodeCredit = 1; // The end of the prefill gives the first token.
            touchPrefix(stream->prefix);
        }
    }
}

void engine_model::decode(double seconds)
{
    for (auto &[attempt, stream] : m_streams) {
        if (stream->state != stream_state::decoding) {
            continue;
        }
        stream->decodeCredit += seconds * options.decodeTokensPerSecond * speed;
        const token_count left = stream->maxNewTokens - stream->deliveredTokens - stream->produced;
        const token_count ready = std::min(static_cast<token_count>(stream->decodeCredit), left);
        if (ready > 0) {
            const token_count from = stream->deliveredTokens + stream->produced;
            stream->chunks.push_back({ answerTokens(stream->digest, from, ready), ready });
            stream->produced += ready;
            stream->decodeCredit -= static_cast<double>(ready);
        }
        if (ready == left) {
            finish(*stream);
        }
    }
}

void engine_model::finish(engine_stream &stream)
{
    stream.state = stream_state::done;
    stream.finishedAt = m_now;
    ++m_completedSinceCold;
    m_warm = m_warm || m_completedSinceCold >= options.warmAfter;
}

void engine_model::touchPrefix(const std::string &prefix)
{
    if (prefix.empty()) {
        return;
    }
    const auto found = std::find(m_prefixes.begin(), m_prefixes.end(), prefix);
    if (found != m_prefixes.end()) {
        m_prefixes.erase(found);
    } else {
        m_events.push_back({ m_nextEvent++, true, prefix, m_now });
    }
    m_prefixes.push_front(prefix);
    if (m_prefixes.size() > options.cachedPrefixes) {
        m_events.push_back({ m_nextEvent++, false, m_prefixes.back(), m_now });
        m_prefixes.pop_back();
    }
    while (m_events.size() > keptEvents) {
        m_events.pop_front();
    }
}

void engine_model::skipEvents(std::uint64_t count)
{
    m_nextEvent += count;
}

void engine_model::expire(time_point now)
{
    std::erase_if(m_streams, [&](const auto &entry) {
        return entry.second->state == stream_state::done && now - entry.second->finishedAt > options.keepFinished;
    });
    const size_t before = m_groups.size();
    std::erase_if(m_groups, [&](const auto &entry) {
        return entry.second.leaseEnd <= now;
    });
    if (m_groups.size() != before) {
        startQueued();
    }
}

void engine_model::keepReport(time_point now)
{
    if (!m_reports.empty() && now - m_reports.back().at < reportInterval) {
        return;
    }
    m_reports.push_back({ now, loadNow() });
    while (m_reports.size() > keptReports) {
        m_reports.pop_front();
    }
}

void engine_model::advance(time_point now)
{
    const double seconds = m_started ? std::chrono::duration<double>(now - m_now).count() : 0;
    m_started = true;
    m_now = now;
    expire(now);
    startQueued();
    prefill(seconds * options.prefillTokensPerSecond * speed);
    decode(seconds);
    keepReport(now);
    if (onProgress) {
        onProgress();
    }
}

json::object engine_model::loadNow() const
{
    json::object report;
    double queuedPrefill = 0;
    json::array streams;
    for (const auto &[attempt, stream] : m_streams) {
        if (stream->isOver()) {
            continue;
        }
        queuedPrefill += stream->prefillLeft;
        streams.push_back(
            json::object{ { "attempt", attempt }, { "held_tokens", stream->heldTokens() }, { "fencing", stream->fencingNumber } });
    }
    report["incarnation"] = m_incarnation;
    report["warm"] = m_warm;
    report["running"] = runningCount();
    report["queued_prefill_tokens"] = static_cast<token_count>(queuedPrefill);
    report["memory_tokens"] = options.memoryTokens;
    report["used_tokens"] = usedTokens();
    report["prefill_tokens_per_second"] = options.prefillTokensPerSecond * speed;
    report["decode_tokens_per_second"] = options.decodeTokensPerSecond * speed;
    report["highest_fencing"] = highestFencing;
    report["streams"] = std::move(streams);
    return report;
}

json::object engine_model::laggedReport(time_point now) const
{
    const taken_report *chosen = m_reports.empty() ? nullptr : &m_reports.front();
    for (const taken_report &candidate : m_reports) {
        if (now - candidate.at >= options.reportLag) {
            chosen = &candidate;
        }
    }
    if (chosen == nullptr) {
        return loadNow();
    }
    json::object report = chosen->report;
    report["age_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(now - chosen->at).count();
    return report;
}

json::object engine_model::streamsReport() const
{
    json::array streams;
    for (const auto &[attempt, stream] : m_streams) {
        streams.push_back(json::object{ { "attempt", attempt },
            { "held_tokens", stream->heldTokens() },
            { "fencing", stream->fencingNumber },
            { "state", nameOf(stream->state) } });
    }
    return { { "streams", std::move(streams) } };
}

json::object engine_model::groupsReport(time_point now) const
{
    json::array groups;
    for (const auto &[name, group] : m_groups) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(group.leaseEnd - now).count();
        groups.push_back(json::object{ { "group", name },
            { "reserved_tokens", group.reservedTokens },
            { "segment_tokens", group.segmentTokens },
            { "exported", !group.ticket.empty() },
            { "imported", group.imported },
            { "lease_left_ms", left } });
    }
    return { { "groups", std::move(groups) } };
}

json::object engine_model::eventsFrom(std::uint64_t from, time_point now) const
{
    json::array events;
    std::uint64_t next = from;
    for (const cache_event &event : m_events) {
        if (event.sequence < from || now - event.at < options.eventLag) {
            continue;
        }
        events.push_back(
            json::object{ { "seq", event.sequence }, { "kind", event.stored ? "stored" : "evicted" }, { "prefix", event.prefix } });
        next = event.sequence + 1;
    }
    return { { "events", std::move(events) }, { "next", next } };
}

json::object engine_model::counters() const
{
    return { { "requests", m_requests },
        { "most_at_once", m_mostAtOnce },
        { "most_at_once_cold", m_mostAtOnceCold },
        { "fallen_over", m_fallenOver },
        { "double_attempts", m_duplicates },
        { "used_tokens", usedTokens() },
        { "running", runningCount() } };
}

} // namespace mustardtrail::standin
