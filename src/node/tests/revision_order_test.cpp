#include "base/random_source.h"
#include "config/config_store.h"
#include "config/update_codec.h"
#include "node/tests/timeline.h"

#include "testing/expect.h"

#include <array>

using namespace mustardtrail;
using namespace mustardtrail::config;
using namespace std::chrono_literals;

namespace
{

constexpr std::uint64_t seeds = 100;
constexpr int publications = 40;

/// What the service holds: targets that change, customers that come and go.
class service
{
public:
    void publish(random_source &random)
    {
        ++m_revision;
        switch (random.below(3)) {
        case 0:
            m_entries["customers"]
                = { "customers", m_revision, random.below(2) == 0 ? R"([{"id":"c1"}])" : R"([{"id":"c1"},{"id":"c2"}])" };
            return;
        case 1:
            m_entries["classes"] = { "classes", m_revision, classesText(100 + random.below(800)) };
            return;
        default:
            m_entries["models"] = { "models", m_revision, random.below(2) == 0 ? R"([{"id":"pay"}])" : R"([{"id":"pay"},{"id":"sax"}])" };
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

    std::int64_t revision() const
    {
        return m_revision;
    }

private:
    static std::string classesText(std::uint64_t target)
    {
        return R"([{"id":"lookup","first_token_target":")" + std::to_string(target) + R"(ms","total_target":"5s","repeatable":true}])";
    }

    std::int64_t m_revision = 1;
    std::map<std::string, config_entry> m_entries{ { "classes", { "classes", 1, classesText(300) } },
        { "customers", { "customers", 1, R"([{"id":"c1"}])" } },
        { "models", { "models", 1, R"([{"id":"pay"}])" } },
        { "data_centres", { "data_centres", 1, R"([{"id":"dc1","region":"r1","in_service":true}])" } } };
};

/// Four stores that pass deltas on, late, twice and out of order. One of them reads the service.
class stores
{
public:
    explicit stores(std::uint64_t seed)
        : m_random(seed)
    {
    }

    void run()
    {
        for (int publication = 0; publication < publications; ++publication) {
            m_time.runUntil(m_time.now() + std::chrono::milliseconds(m_random.below(300)));
            take(0, m_service.changedAfter(m_stores[0].revision()), update_source::service);
            pass();
            pass();
            m_service.publish(m_random);
        }
        m_time.runUntil(m_time.now() + 2s);
        take(0, m_service.changedAfter(m_stores[0].revision()), update_source::service);
        for (size_t to = 1; to < m_stores.size(); ++to) {
            take(to, m_stores[0].deltaSince(0, m_time.now()), update_source::peer);
            testing::expectEqual(m_stores[to].revision(), m_service.revision());
            testing::expectEqual(m_stores[to].digest(), m_stores[0].digest());
        }
    }

    int outOfOrder() const
    {
        return m_outOfOrder;
    }

private:
    void pass()
    {
        const size_t from = m_random.below(m_stores.size());
        const size_t to = m_random.below(m_stores.size());
        // What the receiver held is news that may be old as well.
        const std::int64_t base = m_random.below(3) == 0 ? 0 : m_stores[to].revision();
        const std::string text = encodeUpdate(m_stores[from].deltaSince(base, m_time.now()));
        for (std::uint64_t copies = 1 + m_random.below(2); copies > 0; --copies) {
            m_time.after(std::chrono::milliseconds(1 + m_random.below(1500)), [this, to, text] {
                take(to, *decodeUpdate(text), update_source::peer);
            });
        }
    }

    void take(size_t to, const config_update &update, update_source source)
    {
        config_store &store = m_stores[to];
        const std::int64_t before = store.revision();
        m_outOfOrder += update.revision < before ? 1 : 0;
        store.apply(update, source, m_time.now());
        cr_assert(store.revision() >= before, "store %zu fell from %ld", to, static_cast<long>(before));
        cr_assert(store.inForce()->revision == store.revision());
        const auto [first, added] = m_digests.try_emplace(store.revision(), store.digest());
        cr_assert(added || first->second == store.digest(), "revision %ld has two contents", static_cast<long>(store.revision()));
    }

    random_source m_random;
    node::testing::timeline m_time;
    service m_service;
    std::array<config_store, 4> m_stores;
    std::map<std::int64_t, std::uint64_t> m_digests;
    int m_outOfOrder = 0;
};

} // namespace

Test(revision_order, noStoreGoesBackWhateverTheOrderOfDeltas)
{
    int outOfOrder = 0;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        stores session(seed);
        session.run();
        outOfOrder += session.outOfOrder();
    }
    // The deltas must reach what they are for.
    cr_assert(outOfOrder > 100, "%d", outOfOrder);
}
