#pragma once

#include "config/config_entry.h"
#include "config/config_patch.h"
#include "config/internal/config_key.h"

#include <cstdint>
#include <map>
#include <string>

namespace mustardtrail::config
{

/// Removed ids that a key remembers for deltas.
constexpr size_t maxRemovedIds = 1024;

/// One element under a key: its canonical text and when it changed last.
struct config_element {
    std::string text;
    std::int64_t revision = 0;
};

/// What is in force under one key; immutable once it is in the store.
/// A key whose value is one object holds it as a single element with an empty id.
struct config_part {
    config_key key;
    std::int64_t revision = 0;
    bool deleted = false;
    std::int64_t horizon = 0; ///< Element revisions are known from this revision on.
    std::map<std::string, config_element> elements;
    std::map<std::string, std::int64_t> removed; ///< Ids taken away, with the revision at which they went.
    std::uint64_t digest = 0; ///< Sum of the elements' hashes: does not depend on their order or history.

    void set(const std::string &id, std::string text);
    void remove(const std::string &id);
    void clear();
    /// Whole value as JSON text; empty when the key is deleted.
    config_entry wholeEntry() const;
    bool canPatchFrom(std::int64_t base) const;
    config_patch patchSince(std::int64_t base) const;

private:
    void boundRemoved();
};

} // namespace mustardtrail::config
