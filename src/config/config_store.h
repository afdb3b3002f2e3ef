#pragma once

#include "base/clock.h"
#include "config/apply_result.h"
#include "config/config_update.h"
#include "config/configuration.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace mustardtrail::config
{

struct config_part;

/// Configuration in force on one node. Its revision only grows, whoever offers another.
class config_store
{
public:
    config_store();
    ~config_store();
    config_store(config_store &&) noexcept;
    config_store &operator=(config_store &&) noexcept;

    apply_result apply(const config_update &update, update_source source, time_point now);

    /// Never null; revision 0 before anything was accepted.
    const std::shared_ptr<const configuration> &inForce() const;
    std::int64_t revision() const;
    /// Revision at which the key changed last; 0 for a key that was never seen.
    std::int64_t keyRevision(const std::string &key) const;
    /// Same on two nodes that hold the same content, whatever way it came. Where it differs at one revision, ask for everything.
    std::uint64_t digest() const;

    /// What a peer at the given revision lacks; everything from 0.
    config_update deltaSince(std::int64_t revision, time_point now) const;
    /// Since the service last confirmed what is in force; nothing when it never did.
    std::optional<std::chrono::milliseconds> age(time_point now) const;

    /// Revision to read or watch the service from. A refused revision is not asked for again before refusalRetry has passed.
    std::int64_t watchAfter(time_point now) const;
    /// Problems of the revision that was refused last and is above the one in force.
    const std::vector<config_problem> &refusal() const;
    std::int64_t refusedRevision() const;

    static constexpr std::chrono::seconds refusalRetry{ 30 };

private:
    using part_map = std::map<std::string, std::shared_ptr<const config_part>>;
    friend class update_stage;

    struct refused_update {
        std::int64_t revision = 0;
        std::uint64_t fingerprint = 0;
        time_point at{};
        std::vector<config_problem> problems;
    };

    apply_result stage(const config_update &update, update_source source, time_point now);
    bool isRefused(const config_update &update) const;
    bool namesMoreKeys(const config_update &update) const;
    bool holdsSame(const config_entry &entry) const;
    apply_result applySameRevision(const config_update &update, update_source source, time_point now);
    apply_result refuse(const config_update &update, std::vector<config_problem> problems, time_point now);
    void confirm(const config_update &update, update_source source, time_point now);

    part_map m_parts;
    std::shared_ptr<const configuration> m_inForce;
    std::optional<time_point> m_confirmedAt;
    std::optional<refused_update> m_refused;
};

} // namespace mustardtrail::config
