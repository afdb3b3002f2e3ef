#include "membership/internal/config_follower.h"

#include "base/log_line.h"
#include "config/update_codec.h"

#include <algorithm>

namespace mustardtrail::membership
{

using config::apply_outcome;
using config::update_source;

config_follower::config_follower(const view_settings &settings, random_source &random)
    : m_settings(settings)
    , m_duty(settings.config, random)
{
}

const config::config_store &config_follower::store() const
{
    return m_store;
}

const reader_duty &config_follower::duty() const
{
    return m_duty;
}

void config_follower::hint(const peer &source, std::int64_t revision, std::optional<std::chrono::milliseconds> age, time_point now)
{
    if (revision == m_store.revision() && age) {
        m_duty.heardAge(*age, now);
    }
    if (revision <= m_store.revision() || !m_settings.asksPeersForDeltas) {
        m_sources.erase(source.id);
        return;
    }
    if (!source.heartbeats.address.empty()) {
        m_sources[source.id] = { source.heartbeats, revision };
    }
}

std::vector<view_action> config_follower::tick(int rank, time_point now)
{
    std::vector<view_action> out;
    fetchFromPeer(now, out);
    readService(rank, now, out);
    return out;
}

// The chosen readers watch; a node that steps in after silence reads once without waiting.
void config_follower::readService(int rank, time_point now, std::vector<view_action> &out)
{
    const bool asksPeersFirst = m_fetch.has_value() && !m_duty.isChosen(rank);
    if (asksPeersFirst || !m_duty.isDue(rank, now)) {
        return;
    }
    const bool watches = m_duty.isChosen(rank) && m_store.revision() > 0 && !m_readWhole;
    const std::chrono::milliseconds wait = watches ? m_settings.watchWait : std::chrono::milliseconds(0);
    m_askedAfter = m_readWhole ? 0 : m_store.watchAfter(now);
    const std::chrono::milliseconds allowed = wait + m_settings.config.timeout;
    m_duty.started(allowed + m_settings.config.timeout, now);
    out.push_back(read_config{ m_askedAfter, wait, allowed });
}

void config_follower::fetchFromPeer(time_point now, std::vector<view_action> &out)
{
    if (m_fetch && now >= m_fetch->answerBy) {
        m_sources.erase(m_fetch->peer);
        m_fetch.reset();
    }
    if (m_fetch || m_sources.empty()) {
        return;
    }
    const auto best = std::max_element(m_sources.begin(), m_sources.end(), [](const auto &left, const auto &right) {
        return left.second.revision < right.second.revision;
    });
    m_fetch = open_fetch{ best->first, now + m_settings.fetchTimeout };
    const std::int64_t after = m_fetchWhole ? 0 : m_store.revision();
    out.push_back(fetch_delta{ best->first, best->second.view, after, m_settings.fetchTimeout });
}

std::vector<view_action> config_follower::serviceFailed(std::string_view reason, time_point now)
{
    m_duty.failed(now);
    if (m_lastFailure == reason) {
        return {};
    }
    m_lastFailure = reason;
    return { log_event{ log_line("config_read_failed").add("reason", reason).add("in_force", m_store.revision()).str() } };
}

std::vector<view_action> config_follower::readFromService(const result<std::string> &body, time_point now)
{
    if (!body) {
        return serviceFailed(toString(body.error().code), now);
    }
    const config::decoded_update update = config::decodeServiceReply(*body, m_askedAfter);
    if (!update) {
        return serviceFailed("not_readable", now);
    }
    const std::int64_t before = m_store.revision();
    const config::apply_result applied = m_store.apply(*update, update_source::service, now);
    const bool good = applied.outcome == apply_outcome::accepted || applied.outcome == apply_outcome::unchanged;
    m_readWhole = applied.outcome == apply_outcome::needs_full;
    if (!good) {
        return serviceFailed(config::toString(applied.outcome), now);
    }
    m_duty.succeeded(now);
    m_lastFailure.clear();
    dropSources();
    if (m_store.revision() == before) {
        return {};
    }
    return { log_event{ log_line("config_in_force").add("revision", m_store.revision()).add("from", "service").str() } };
}

std::vector<view_action> config_follower::receivedDelta(const instance_id &peer, const result<std::string> &body, time_point now)
{
    if (!m_fetch || m_fetch->peer != peer) {
        return {};
    }
    m_fetch.reset();
    const config::decoded_update update
        = body ? config::decodeUpdate(*body) : config::decoded_update(tl::unexpected(std::vector<config::config_problem>()));
    if (!update) {
        m_sources.erase(peer);
        return {};
    }
    const std::int64_t before = m_store.revision();
    const config::apply_result applied = m_store.apply(*update, update_source::peer, now);
    m_fetchWhole = applied.outcome == apply_outcome::needs_full && !m_fetchWhole;
    if (!m_fetchWhole && m_store.revision() == before) {
        m_sources.erase(peer);
    }
    dropSources();
    if (m_store.revision() == before) {
        return {};
    }
    if (update->confirmedAgo) {
        m_duty.heardAge(*update->confirmedAgo, now);
    }
    return { log_event{ log_line("config_in_force").add("revision", m_store.revision()).add("from", peer.str()).str() } };
}

void config_follower::dropSources()
{
    std::erase_if(m_sources, [this](const auto &entry) {
        return entry.second.revision <= m_store.revision();
    });
}

std::string config_follower::delta(std::int64_t afterRevision, time_point now) const
{
    return config::encodeUpdate(m_store.deltaSince(afterRevision, now));
}

std::optional<std::chrono::milliseconds> config_follower::age(time_point now) const
{
    return m_store.revision() > 0 ? m_duty.age(now) : std::nullopt;
}

bool config_follower::isCaughtUp() const
{
    return m_sources.empty() && m_store.revision() > 0;
}

void config_follower::refresh(time_point now)
{
    m_sources.clear();
    m_fetch.reset();
    m_duty.readAt(now);
}

} // namespace mustardtrail::membership
