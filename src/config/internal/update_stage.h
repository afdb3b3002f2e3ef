#pragma once

#include "config/config_store.h"
#include "config/config_update.h"
#include "config/internal/config_part.h"
#include "config/internal/problem_list.h"
#include "config/internal/value_reader.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Works out what an update would put in force, without touching the store.
/// Only elements whose text differs from the one in force are parsed.
class update_stage
{
public:
    enum class state {
        ready,
        invalid, ///< Whole, and its content is refused.
        damaged, ///< Only a part of it came, or it contradicts itself.
        needs_full,
    };

    update_stage(const config_store &store, const config_update &update);

    state run();
    std::vector<config_problem> takeProblems();
    const config_store::part_map &parts() const;
    std::shared_ptr<const configuration> result() const;

private:
    struct part_change {
        std::shared_ptr<config_part> part;
        std::vector<std::string> removed; ///< Ids that are gone or that change.
        std::map<std::string, boost::json::object> changed;

        bool readElement(const std::string &text);
        void set(const std::string &id, std::string text, boost::json::object object);
    };

    std::map<std::string, std::int64_t> heldRevisions() const;
    bool isNewer(const std::string &key, std::int64_t revision) const;
    part_change startChange(const config_key &key, std::int64_t revision) const;
    void stageEntry(const config_entry &entry);
    bool stagePatch(const config_patch &patch);
    void diff(part_change &change, element_objects elements) const;
    void build();
    /// Problems in the order that every node gives, whatever it held before.
    std::vector<config_problem> wholeProblems();

    const config_store &m_store;
    const config_update &m_update;
    problem_list m_problems;
    std::vector<config_problem> m_refusal;
    std::vector<part_change> m_changes;
    config_store::part_map m_parts;
    std::map<std::string, config_entry> m_rejected; ///< Values as published, of the keys that the update sets whole.
    std::shared_ptr<configuration> m_result;
};

} // namespace mustardtrail::config
