#include "base/random_source.h"
#include "config/config_store.h"
#include "config/internal/concat.h"
#include "config/parse_configuration.h"
#include "config/update_codec.h"
#include "tests/sample_configuration.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

namespace
{

/// Publishes random values, some of them broken, and answers reads as the service does.
class random_service
{
public:
    explicit random_service(std::uint64_t seed)
        : m_random(seed)
    {
        for (const auto &[key, value] : sampleValues()) {
            m_entries[key] = { key, 1, value };
        }
    }

    void publish()
    {
        ++m_revision;
        const std::uint64_t changes = 1 + m_random.below(3);
        for (std::uint64_t change = 0; change < changes; ++change) {
            const auto [key, value] = randomValue();
            m_entries[key] = { key, m_revision, value };
        }
    }

    config_update changedAfter(std::int64_t base) const
    {
        config_update update{ m_revision, base, base == 0, {}, {}, {} };
        for (const auto &[key, entry] : m_entries) {
            if (entry.revision > base) {
                update.entries.push_back(entry);
            }
        }
        return update;
    }

    std::uint64_t below(std::uint64_t bound)
    {
        return m_random.below(bound);
    }

private:
    std::pair<std::string, std::optional<std::string>> randomValue()
    {
        switch (m_random.below(8)) {
        case 0:
            return { "customers", concat({ R"([{"id":"c)", std::to_string(m_random.below(4)), R"("},{"id":"hotel-1"}])" }) };
        case 1:
            return { "data_centres",
                concat({ R"([{"id":"dc2","region":"r1","in_service":true},{"in_service":)",
                    coin("true", "false"),
                    R"(,"id":"dc1","region":"r1"}])" }) };
        case 2:
            return { "models", coin(R"([{"id":"pay"}])", R"([{"id":"pay"},{"id":"sax"}])") };
        case 3:
            return { "instances", m_random.below(3) == 0 ? std::nullopt : std::optional(sampleValues()["instances"]) };
        case 4:
            return { "classes", coin(sampleValues()["classes"], R"([{"id":"lookup"}])") };
        default:
            return { coin("backend_servers/dc1", coin("backend_servers/dc2", "backend_servers/dc2/part")), randomServers() };
        }
    }

    std::optional<std::string> randomServers()
    {
        if (m_random.below(10) == 0) {
            return std::nullopt;
        }
        std::string list = "[";
        for (int number = 1; number <= 5; ++number) {
            if (m_random.below(3) == 0) {
                const int port = 9000 + number + (m_random.below(8) == 0 ? 1 : 0);
                list += list.size() == 1 ? "" : ",";
                list += engineText(concat({ "g", std::to_string(number) }), port, m_random.below(12) == 0 ? "\"weight\":1" : "");
            }
        }
        return list + "]";
    }

    std::string coin(const std::string &heads, const std::string &tails)
    {
        return m_random.below(2) == 0 ? heads : tails;
    }

    random_source m_random;
    std::int64_t m_revision = 1;
    std::map<std::string, config_entry> m_entries;
};

constexpr time_point start{ std::chrono::hours(1) };

void follow(config_store &follower, const config_store &leader)
{
    const config_update delta = *decodeUpdate(encodeUpdate(leader.deltaSince(follower.revision(), start)));
    // The leader held every revision that the follower holds, so no patch may fall short.
    const apply_result result = follower.apply(delta, update_source::peer, start);
    cr_assert(result.outcome == apply_outcome::accepted || result.outcome == apply_outcome::unchanged);
    testing::expectEqual(follower.digest(), leader.digest());
    cr_assert(*follower.inForce() == *leader.inForce());
}

} // namespace

Test(store_property, agreesWithAFreshNodeAndWithFollowersOnEveryRevision)
{
    int accepted = 0;
    int refused = 0;
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        random_service service(seed);
        config_store reader;
        config_store follower;
        for (int step = 0; step < 100; ++step) {
            const auto fresh = parseConfiguration(service.changedAfter(0).entries);
            const apply_result result = reader.apply(service.changedAfter(reader.revision()), update_source::service, start);
            if (fresh) {
                cr_assert(result.outcome == apply_outcome::accepted && *reader.inForce() == **fresh);
                ++accepted;
            } else {
                cr_assert(result.outcome == apply_outcome::invalid && result.problems == fresh.error());
                ++refused;
            }
            if (reader.revision() > 0 && service.below(3) == 0) {
                follow(follower, reader);
            }
            service.publish();
        }
    }
    cr_assert(accepted > 100 && refused > 100, "accepted %d refused %d", accepted, refused);
}
