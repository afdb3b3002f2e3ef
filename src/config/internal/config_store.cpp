#include "config/config_store.h"

#include "base/hash.h"
#include "config/internal/canonical_json.h"
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
        return { apply_outcome::older, {}, false, 0 };
    }
    if (update.revision == revision()) {
        return applySameRevision(update, source, now);
    }
    if (m_refused && isRefused(update)) {
        m_refused->at = now;
        return { apply_outcome::invalid, m_refused->problems, true, 0 };
    }
    if (!update.complete && update.base > revision()) {
        return { apply_outcome::needs_full, {}, false, revision() };
    }
    return stage(update, source, now);
}

apply_result config_store::stage(const config_update &update, update_source source, time_point now)
{
    update_stage stage(*this, update);
    switch (stage.run()) {
    case update_stage::state::needs_full:
        return { apply_outcome::needs_full, {}, false, 0 };
    case update_stage::state::damaged:
        return { apply_outcome::invalid, stage.takeProblems(), false, 0 };
    case update_stage::state::invalid:
        return refuse(update, stage.takeProblems(), now);
    case update_stage::state::ready:
        break;
    }
    m_parts = stage.parts();
    m_inForce = stage.result();
    if (m_refused && m_refused->revision <= revision()) {
        m_refused.reset();
    }
    confirm(update, source, now);
    return { apply_outcome::accepted, {}, false, 0 };
}

bool config_store::isRefused(const config_update &update) const
{
    if (update.revision != m_refused->revision) {
        return false;
    }
    // A watch from the refused revision that ended without a change.
    const bool nothingNew = update.base == update.revision && update.entries.empty() && update.patches.empty();
    return nothingNew || m_refused->fingerprint == fingerprintOf(update);
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
    // What was put in force here came from a reply that lacked whole keys.
    if (update.complete && namesMoreKeys(update)) {
        return stage(update, source, now);
    }
    const bool sameEntries = std::all_of(update.entries.begin(), update.entries.end(), [this](const config_entry &entry) {
        return holdsSame(entry);
    });
    const bool samePatches = std::all_of(update.patches.begin(), update.patches.end(), [this](const config_patch &patch) {
        const auto part = m_parts.find(patch.key);
        return part != m_parts.end() && part->second->digest == patch.digest;
    });
    if (!sameEntries || !samePatches) {
        return { apply_outcome::conflicting, {}, false, 0 };
    }
    confirm(update, source, now);
    return { apply_outcome::unchanged, {}, false, 0 };
}

bool config_store::namesMoreKeys(const config_update &update) const
{
    return std::any_of(update.entries.begin(), update.entries.end(), [this](const config_entry &entry) {
        return !m_parts.contains(entry.key);
    });
}

bool config_store::holdsSame(const config_entry &entry) const
{
    const auto part = m_parts.find(entry.key);
    if (part == m_parts.end() || part->second->deleted || !entry.value) {
        return part != m_parts.end() && part->second->deleted && !entry.value;
    }
    problem_list problems;
    config_part offered;
    for (const auto &[id, object] : readValue(part->second->key, *entry.value, problems)) {
        offered.set(id, canonicalText(object));
    }
    return problems.empty() && offered.digest == part->second->digest;
}

apply_result config_store::refuse(const config_update &update, std::vector<config_problem> problems, time_point now)
{
    m_refused = refused_update{ update.revision, fingerprintOf(update), now, problems };
    return { apply_outcome::invalid, std::move(problems), false, 0 };
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
