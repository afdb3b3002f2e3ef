#include "config/internal/update_envelope.h"

#include "config/internal/concat.h"
#include "config/internal/problem_list.h"
#include "config/internal/required_keys.h"

#include <algorithm>
#include <set>

namespace mustardtrail::config
{

namespace
{

using key_revisions = std::map<std::string, std::int64_t>;

void checkRevision(
    const config_update &update, const std::string &key, std::int64_t revision, const key_revisions &held, problem_list &problems)
{
    if (revision < 1 || revision > update.revision) {
        problems.add({ error_code::config_out_of_range,
            shownKey(key),
            "revision",
            std::to_string(revision),
            concat({ "1..", std::to_string(update.revision) }) });
    }
    const auto before = held.find(key);
    if (update.complete && before != held.end() && revision < before->second) {
        problems.add({ error_code::config_revision_went_back,
            shownKey(key),
            "revision",
            std::to_string(revision),
            concat({ ">= ", std::to_string(before->second) }) });
    }
}

std::vector<std::pair<std::string, std::int64_t>> keysOf(const config_update &update)
{
    std::vector<std::pair<std::string, std::int64_t>> keys;
    for (const config_entry &entry : update.entries) {
        keys.emplace_back(entry.key, entry.revision);
    }
    for (const config_patch &patch : update.patches) {
        keys.emplace_back(patch.key, patch.revision);
    }
    return keys;
}

} // namespace

std::vector<config_problem> checkEnvelope(const config_update &update, const std::map<std::string, std::int64_t> &heldRevisions)
{
    problem_list problems;
    std::int64_t newest = 0;
    std::set<std::string> seen;
    for (const auto &[key, revision] : keysOf(update)) {
        if (!seen.insert(key).second) {
            problems.add({ error_code::config_duplicate_key, shownKey(key), "", shownKey(key), "1" });
        }
        checkRevision(update, key, revision, heldRevisions, problems);
        newest = std::max(newest, revision);
    }
    // The newest entry carries the revision itself, so a reply without it was cut short.
    if (newest < update.revision) {
        problems.add({ error_code::config_incomplete, "", "revision", std::to_string(newest), std::to_string(update.revision) });
    }
    for (const auto &[key, revision] : heldRevisions) {
        if (update.complete && !seen.contains(key)) {
            problems.add({ error_code::config_incomplete, key, "", "", key });
        }
    }
    return problems.take();
}

} // namespace mustardtrail::config
