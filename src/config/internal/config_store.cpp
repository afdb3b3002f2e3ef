#include "config/config_store.h"

#include "base/hash.h"
#include "config/internal/config_part.h"
#include "config/internal/update_stage.h"

#include <algorithm>

namespace mustardtrail::config
{

namespace
{

std::uint64_t fingerprintOf(const config_update &update)
{
    std::uint64_t hash = hash64(std::to_string(update.base), static_cast<std::uint64_t>(update.revision));
    for (const config_entry &entry : update.entries) {
        hash = hash64(entry.key, hash);
        hash = hash64(entry.value.value_or("null"), hash + static_cast<std::uint64_t>(entry.revision));
    }
    for (const config_patch &patch : update.patches) {
        hash = hash64(patch.key, hash + static_cast<std::uint64_t>(patch.revision) + patch.digest);
        for (const std::string &text : patch.changed) {
            hash = hash64(text, hash);
        }
    }
    return hash;
}

} // namespace

config_store::config_store()
    : m_inForce(std::make_shared<const configuration>())
{
}

config_store::~config_store() = default;
config_store::config_store(config_store &&) noexcept = default;
config_store &config_store::operator=(config_store &&) noexcept = default;

apply_result config_store::apply(const config_update &update, update_source source, time_point now)
{
    if (update.revision < revision()) {
        return { apply_outcome::older, {}, false };
    }
    if (update.revision == revision()) {
        return applySameRevision(update, source, now);
    }
    if (!update.complete && update.base > revision()) {
        return { apply_outcome::needs_full, {}, false };
    }
    if (m_refused && m_refused->revision == update.revision && m_refused->fingerprint == fingerprintOf(update)) {
        m_refused->at = now;
        return { apply_outcome::invalid, m_refused->problems, true };
    }
    update_stage stage(*this, update);
    const update_stage::state state = stage.run();
    if (state == update_stage::state::needs_full) {
        return { apply_outcome::needs_full, {}, false };
    }
    if (state == update_stage::state::invalid) {
        return refuse(update, stage.takeProblems(), now);
    }
    m_parts = stage.parts();
    m_inForce = stage.result();
    if (m_refused && m_refused->revision <= revision()) {
        m_refused.reset();
    }
    confirm(update, source, now);
    return { apply_outcome::accepted, {}, false };
}

const std::shared_ptr<const configuration> &config_store::inForce() const
{
    return m_inForce;
}

std::int64_t config_store::revision() const
{
    return m_inForce->revision;
}

std::int64_t config_store::keyRevision(const std::string &key) const
{
    const auto part = m_parts.find(key);
    return part == m_parts.end() ? 0 : part->second->revision;
}

std::uint64_t config_store::digest() const
{
    std::uint64_t hash = 0;
    for (const auto &[key, part] : m_parts) {
        if (!part->deleted) {
            hash = hash64(key, hash + part->digest);
        }
    }
    return hash;
}

config_update config_store::deltaSince(std::int64_t base, time_point now) const
{
    config_update update{ revision(), base, base <= 0, {}, {}, age(now) };
    for (const auto &[key, part] : m_parts) {
        if (!update.complete && part->revision <= base) {
            continue;
        }
        if (!update.complete && part->canPatchFrom(base)) {
            update.patches.push_back(part->patchSince(base));
        } else {
            update.entries.push_back(part->wholeEntry());
        }
    }
    return update;
}

std::optional<std::chrono::milliseconds> config_store::age(time_point now) const
{
    if (!m_confirmedAt) {
        return std::nullopt;
    }
    return std::max(std::chrono::milliseconds(0), std::chrono::duration_cast<std::chrono::milliseconds>(now - *m_confirmedAt));
}

std::int64_t config_store::watchAfter(time_point now) const
{
    if (m_refused && now - m_refused->at < refusalRetry) {
        return std::max(m_refused->revision, revision());
    }
    return revision();
}

const std::vector<config_problem> &config_store::refusal() const
{
    static const std::vector<config_problem> none;
    return m_refused ? m_refused->problems : none;
}

std::int64_t config_store::refusedRevision() const
{
    return m_refused ? m_refused->revision : 0;
}

apply_result config_store::applySameRevision(const config_update &update, update_source source, time_point now)
{
    for (const config_entry &entry : update.entries) {
        const auto part = m_parts.find(entry.key);
        if (part == m_parts.end() || part->second->revision != entry.revision) {
            return { apply_outcome::conflicting, {}, false };
        }
    }
    confirm(update, source, now);
    return { apply_outcome::unchanged, {}, false };
}

apply_result config_store::refuse(const config_update &update, std::vector<config_problem> problems, time_point now)
{
    m_refused = refused_update{ update.revision, fingerprintOf(update), now, problems };
    return { apply_outcome::invalid, std::move(problems), false };
}

void config_store::confirm(const config_update &update, update_source source, time_point now)
{
    time_point at = now;
    if (source == update_source::peer) {
        if (!update.confirmedAgo) {
            return;
        }
        at = now - *update.confirmedAgo;
    }
    if (!m_confirmedAt || at > *m_confirmedAt) {
        m_confirmedAt = at;
    }
}

} // namespace mustardtrail::config
