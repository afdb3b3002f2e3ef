#include "config/parse_configuration.h"

#include "config/internal/cross_checks.h"
#include "config/internal/element_parser.h"
#include "config/internal/required_keys.h"
#include "config/internal/value_reader.h"

#include <algorithm>
#include <map>
#include <set>

namespace mustardtrail::config
{

namespace
{

std::vector<const config_entry *> sortedByKey(const std::vector<config_entry> &entries)
{
    std::vector<const config_entry *> sorted;
    sorted.reserve(entries.size());
    for (const config_entry &entry : entries) {
        sorted.push_back(&entry);
    }
    std::stable_sort(sorted.begin(), sorted.end(), [](const config_entry *left, const config_entry *right) {
        return left->key < right->key;
    });
    return sorted;
}

using keys_by_server = std::map<backend_server_id, std::string>;

void parseEntry(const config_entry &entry, configuration &into, keys_by_server &keys, problem_list &problems)
{
    const std::optional<config_key> key = configKeyFromString(entry.key);
    if (!key) {
        problems.add({ error_code::config_unknown_key, shownKey(entry.key), "", shownKey(entry.key), allowedKeys() });
        return;
    }
    for (const auto &[id, object] : readValue(*key, *entry.value, problems)) {
        parseElement(*key, id, object, into, problems);
        if (key->kind == key_kind::backend_servers) {
            keys.emplace(id, entry.key);
        }
    }
}

} // namespace

tl::expected<std::shared_ptr<const configuration>, std::vector<config_problem>> parseConfiguration(const std::vector<config_entry> &entries)
{
    problem_list problems;
    std::set<std::string> present;
    std::set<std::string> seen;
    keys_by_server keys;
    const auto result = std::make_shared<configuration>();
    for (const config_entry *entry : sortedByKey(entries)) {
        result->revision = std::max(result->revision, entry->revision);
        if (!seen.insert(entry->key).second) {
            problems.add({ error_code::config_duplicate_key, shownKey(entry->key), "", shownKey(entry->key), "1" });
            continue;
        }
        if (!entry->value) {
            continue;
        }
        present.insert(entry->key);
        parseEntry(*entry, *result, keys, problems);
    }
    checkRequiredKeys(
        [&present](const std::string &key) {
            return present.contains(key);
        },
        problems);
    checkReferences(
        *result,
        [&keys](const backend_server &server) {
            return keys.at(server.id);
        },
        problems);
    if (!problems.empty()) {
        return tl::unexpected(problems.take());
    }
    return std::shared_ptr<const configuration>(result);
}

} // namespace mustardtrail::config
