#include "config/config_store.h"
#include "config/internal/concat.h"
#include "config/report_text.h"
#include "config/update_codec.h"
#include "tests/golden_file.h"
#include "tests/sample_configuration.h"

#include <iomanip>
#include <sstream>

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

namespace
{

/// One node that reads a service in every bad mode, and a peer that hears from it; keeps a trace of each result.
class session
{
public:
    void publish(const std::string &key, const std::string &value)
    {
        m_values[key] = { key, ++m_revision, value };
    }

    std::string reply(std::int64_t after) const
    {
        config_update update{ m_revision, after, false, {}, {}, {} };
        std::string entries;
        for (const auto &[key, entry] : m_values) {
            if (entry.revision > after) {
                entries += concat({ entries.empty() ? "" : ",",
                    R"({"key":")",
                    key,
                    R"(","revision":)",
                    std::to_string(entry.revision),
                    R"(,"value":)",
                    *entry.value,
                    "}" });
            }
        }
        return concat({ R"({"revision":)", std::to_string(m_revision), R"(,"entries":[)", entries, "]}" });
    }

    void read(const std::string &mode, const std::string &text, std::int64_t after)
    {
        m_now += std::chrono::seconds(1);
        const decoded_update update = decodeServiceReply(text, after);
        if (!update) {
            note(mode, "not decoded", m_node, update.error());
            return;
        }
        const apply_result result = m_node.apply(*update, update_source::service, m_now);
        note(mode, concat({ toString(result.outcome), result.refusedBefore ? " (as before)" : "" }), m_node, result.problems);
    }

    void read(const std::string &mode)
    {
        const std::int64_t after = m_node.watchAfter(m_now);
        read(mode, reply(after), after);
    }

    void hear(const std::string &mode)
    {
        m_now += std::chrono::seconds(1);
        const config_update delta = *decodeUpdate(encodeUpdate(m_node.deltaSince(m_peer.revision(), m_now)));
        const apply_result result = m_peer.apply(delta, update_source::peer, m_now);
        note(mode, concat({ "peer ", toString(result.outcome) }), m_peer, result.problems);
    }

    void silence(const std::string &mode, std::chrono::seconds length)
    {
        m_now += length;
        note(mode, "-", m_node, {});
    }

    const config_store &node() const
    {
        return m_node;
    }

    std::string trace() const
    {
        return m_trace.str();
    }

private:
    void note(const std::string &mode, const std::string &outcome, const config_store &store, const std::vector<config_problem> &problems)
    {
        const std::optional<std::chrono::milliseconds> age = store.age(m_now);
        m_trace << std::left << std::setw(34) << mode << std::setw(22) << outcome << "revision=" << store.revision()
                << " refused=" << store.refusedRevision() << " watch_after=" << store.watchAfter(m_now)
                << " age=" << (age ? std::to_string(age->count()) + "ms" : "-") << " digest=" << std::hex << store.digest() << std::dec
                << '\n';
        for (const config_problem &problem : problems) {
            m_trace << "    ! " << toString(problem.code) << ' ' << problemText(problem, language::english) << '\n';
        }
    }

    time_point m_now{ std::chrono::hours(1) };
    std::int64_t m_revision = 0;
    std::map<std::string, config_entry> m_values;
    config_store m_node;
    config_store m_peer;
    std::ostringstream m_trace;
};

std::string regions(const std::string &region)
{
    return replaced(sampleValues()["data_centres"], "r1", region);
}

} // namespace

Test(session, serviceInEveryBadMode)
{
    session run;
    for (const auto &[key, value] : sampleValues()) {
        run.publish(key, value);
    }
    run.read("up: first read");
    run.hear("peer hears everything");
    const std::string stale = run.reply(0);
    run.publish("data_centres", regions("r2"));
    run.read("up: one change");
    run.hear("peer hears a patch");
    run.read("up: watch ends, nothing new");
    run.silence("down for 60 s", std::chrono::seconds(60));
    run.read("stale: state before the change", stale, 0);
    run.read("garbage", "\x01\x02 not json", 9);
    run.read("half a reply", run.reply(0).substr(0, 700), 0);
    run.read("empty reply", "", 9);
    run.publish("data_centres", regions("r3"));
    run.publish("customers", R"([{"id":"hotel-1"},{"id":"hotel-2"}])");
    run.read("entries cut off", replaced(run.reply(9), "\"revision\":11,\"value\"", "\"revision\":10,\"value\""), 9);
    run.read("up again: two changes");
    run.publish("models", "[]");
    run.read("invalid revision");
    run.read("invalid revision, watched past");
    run.hear("peer hears two changes");
    run.hear("peer hears nothing of the refused");
    run.publish("models", R"([{"id":"pay"},{"id":"bookings"}])");
    run.read("mended, delta from refused one");
    run.read("mended, asked from revision 11", run.reply(11), 11);
    run.hear("peer hears the mended one");
    run.read("service reset to revision 1", R"({"revision":1,"entries":[]})", 0);
    testing::expectEqual(run.node().revision(), 13);
    expectGolden("service-session.txt", run.trace());
}
