#include "config/internal/config_part.h"

#include "base/hash.h"

#include <utility>

namespace mustardtrail::config
{

namespace
{

std::uint64_t elementHash(const std::string &id, const std::string &text)
{
    return hash64(text, hash64(id));
}

} // namespace

void config_part::set(const std::string &id, std::string text)
{
    config_element &element = elements[id];
    if (!element.text.empty()) {
        digest -= elementHash(id, element.text);
    }
    digest += elementHash(id, text);
    element = { std::move(text), revision };
    removed.erase(id);
}

void config_part::remove(const std::string &id)
{
    const auto element = elements.find(id);
    if (element == elements.end()) {
        return;
    }
    digest -= elementHash(id, element->second.text);
    elements.erase(element);
    removed[id] = revision;
    boundRemoved();
}

void config_part::clear()
{
    elements.clear();
    removed.clear();
    digest = 0;
    horizon = revision;
}

config_entry config_part::wholeEntry() const
{
    if (deleted) {
        return { key.text, revision, std::nullopt };
    }
    if (!key.isList()) {
        return { key.text, revision, elements.begin()->second.text };
    }
    std::string text = "[";
    for (const auto &[id, element] : elements) {
        text += text.size() == 1 ? "" : ",";
        text += element.text;
    }
    return { key.text, revision, text + "]" };
}

bool config_part::canPatchFrom(std::int64_t base) const
{
    return !deleted && base >= horizon;
}

config_patch config_part::patchSince(std::int64_t base) const
{
    config_patch patch{ key.text, revision, digest, {}, {} };
    for (const auto &[id, element] : elements) {
        if (element.revision > base) {
            patch.changed.push_back(element.text);
        }
    }
    for (const auto &[id, at] : removed) {
        if (at > base) {
            patch.removed.push_back(id);
        }
    }
    return patch;
}

void config_part::boundRemoved()
{
    if (removed.size() <= maxRemovedIds) {
        return;
    }
    // Whoever is behind this revision gets the whole value.
    removed.clear();
    horizon = revision;
}

} // namespace mustardtrail::config
