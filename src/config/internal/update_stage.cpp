#include "config/internal/update_stage.h"

#include "config/internal/canonical_json.h"
#include "config/internal/cross_checks.h"
#include "config/internal/element_parser.h"
#include "config/internal/json_reader.h"
#include "config/internal/required_keys.h"
#include "config/internal/update_envelope.h"
#include "config/parse_configuration.h"

#include <algorithm>
#include <optional>

namespace mustardtrail::config
{

namespace
{

std::optional<std::string> elementId(const config_key &key, const boost::json::object &object)
{
    if (!key.isList()) {
        return std::string();
    }
    const boost::json::value *id = object.if_contains("id");
    if (id == nullptr || !id->is_string()) {
        return std::nullopt;
    }
    return std::string(id->get_string().data(), id->get_string().size());
}

} // namespace

update_stage::update_stage(const config_store &store, const config_update &update)
    : m_store(store)
    , m_update(update)
    , m_parts(store.m_parts)
{
}

update_stage::state update_stage::run()
{
    m_refusal = checkEnvelope(m_update, heldRevisions());
    if (!m_refusal.empty()) {
        return state::damaged;
    }
    for (const config_patch &patch : m_update.patches) {
        if (!stagePatch(patch)) {
            return state::needs_full;
        }
    }
    for (const config_entry &entry : m_update.entries) {
        stageEntry(entry);
    }
    build();
    if (m_problems.empty()) {
        return state::ready;
    }
    m_refusal = wholeProblems();
    return state::invalid;
}

std::vector<config_problem> update_stage::takeProblems()
{
    return std::move(m_refusal);
}

const config_store::part_map &update_stage::parts() const
{
    return m_parts;
}

std::shared_ptr<const configuration> update_stage::result() const
{
    return m_result;
}

std::map<std::string, std::int64_t> update_stage::heldRevisions() const
{
    std::map<std::string, std::int64_t> revisions;
    for (const auto &[key, part] : m_parts) {
        revisions[key] = part->revision;
    }
    return revisions;
}

bool update_stage::isNewer(const std::string &key, std::int64_t revision) const
{
    const auto held = m_parts.find(key);
    if (held == m_parts.end()) {
        return true;
    }
    // A complete update also repairs a key whose content differs at one revision.
    return m_update.complete || revision > held->second->revision;
}

update_stage::part_change update_stage::startChange(const config_key &key, std::int64_t revision) const
{
    part_change change;
    const auto held = m_parts.find(key.text);
    if (held == m_parts.end()) {
        change.part = std::make_shared<config_part>();
        change.part->key = key;
        change.part->horizon = revision;
    } else {
        change.part = std::make_shared<config_part>(*held->second);
        if (held->second->deleted) {
            change.part->horizon = revision; // Who holds the key as deleted has nothing to patch.
        }
    }
    change.part->revision = revision;
    return change;
}

void update_stage::stageEntry(const config_entry &entry)
{
    if (!isNewer(entry.key, entry.revision)) {
        return;
    }
    m_rejected[entry.key] = entry;
    const std::optional<config_key> key = configKeyFromString(entry.key);
    if (!key) {
        m_problems.add({ error_code::config_unknown_key, shownKey(entry.key), "", shownKey(entry.key), allowedKeys() });
        return;
    }
    part_change change = startChange(*key, entry.revision);
    change.part->deleted = !entry.value.has_value();
    if (entry.value) {
        diff(change, readValue(*key, *entry.value, m_problems));
    } else {
        diff(change, {});
        change.part->clear();
    }
    m_changes.push_back(std::move(change));
}

bool update_stage::stagePatch(const config_patch &patch)
{
    if (!isNewer(patch.key, patch.revision)) {
        return true;
    }
    const auto held = m_parts.find(patch.key);
    if (held == m_parts.end() || held->second->deleted) {
        return false;
    }
    part_change change = startChange(held->second->key, patch.revision);
    for (const std::string &id : patch.removed) {
        change.part->remove(id);
        change.removed.push_back(id);
    }
    const bool allRead = std::all_of(patch.changed.begin(), patch.changed.end(), [&change](const std::string &text) {
        return change.readElement(text);
    });
    // The digest tells whether the sender patched the content that is in force here.
    if (!allRead || change.part->digest != patch.digest) {
        return false;
    }
    m_changes.push_back(std::move(change));
    return true;
}

bool update_stage::part_change::readElement(const std::string &text)
{
    tl::expected<boost::json::value, json_failure> value = readJson(text);
    if (!value || !value->is_object()) {
        return false;
    }
    boost::json::object &object = value->get_object();
    const std::optional<std::string> id = elementId(part->key, object);
    if (!id) {
        return false;
    }
    std::string canonical = canonicalText(object);
    set(*id, std::move(canonical), std::move(object));
    return true;
}

void update_stage::part_change::set(const std::string &id, std::string text, boost::json::object object)
{
    if (part->elements.contains(id)) {
        removed.push_back(id);
    }
    part->set(id, std::move(text));
    changed[id] = std::move(object);
}

void update_stage::diff(part_change &change, element_objects elements) const
{
    config_part &part = *change.part;
    for (const auto &[id, element] : part.elements) {
        if (!elements.contains(id)) {
            change.removed.push_back(id);
        }
    }
    for (const std::string &id : change.removed) {
        part.remove(id);
    }
    for (auto &[id, object] : elements) {
        std::string text = canonicalText(object);
        const auto held = part.elements.find(id);
        if (held != part.elements.end() && held->second.text == text) {
            continue;
        }
        change.set(id, std::move(text), std::move(object));
    }
}

void update_stage::build()
{
    m_result = std::make_shared<configuration>(*m_store.m_inForce);
    m_result->revision = m_update.revision;
    // All removals come first, so that a backend server may move from one key to another and
    // an id that is left belongs to another key.
    for (const part_change &change : m_changes) {
        for (const std::string &id : change.removed) {
            removeElement(change.part->key, id, *m_result);
        }
    }
    for (const part_change &change : m_changes) {
        for (const auto &[id, object] : change.changed) {
            parseElement(change.part->key, id, object, *m_result, m_problems);
        }
        m_parts[change.part->key.text] = change.part;
    }
    checkRequiredKeys(
        [this](const std::string &key) {
            const auto part = m_parts.find(key);
            return part != m_parts.end() && !part->second->deleted;
        },
        m_problems);
    // Only whether there are problems counts here; wholeProblems() names them.
    checkReferences(
        *m_result,
        [](const backend_server &server) {
            return server.dataCentre.str();
        },
        m_problems);
}

std::vector<config_problem> update_stage::wholeProblems()
{
    std::vector<config_entry> entries;
    for (const auto &[key, entry] : m_rejected) {
        entries.push_back(entry);
    }
    for (const auto &[key, part] : m_parts) {
        if (!m_rejected.contains(key)) {
            entries.push_back(part->wholeEntry());
        }
    }
    auto whole = parseConfiguration(entries);
    return whole ? m_problems.take() : std::move(whole.error());
}

} // namespace mustardtrail::config
