#include "node/tests/heavy_schedule.h"

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr int steps = 30;
constexpr unsigned longestStep = 150;
constexpr std::uint64_t heavySalt = 0x5851f42d;
const data_centre_id bothCentres[] = { data_centre_id("dc1"), data_centre_id("dc2") };

} // namespace

heavy_schedule::heavy_schedule(std::uint64_t seed)
    : m_random(seed ^ heavySalt)
    , m_fleet(seed)
    , m_theme(static_cast<theme>(seed % 3))
{
}

void heavy_schedule::record()
{
    m_fleet.record();
}

const session_trace &heavy_schedule::trace()
{
    return m_fleet.trace();
}

std::uint64_t heavy_schedule::count(const std::string &what) const
{
    return m_fleet.count(what);
}

std::chrono::milliseconds heavy_schedule::someTime(unsigned least, unsigned most)
{
    return std::chrono::milliseconds(least + m_random.below(most - least));
}

void heavy_schedule::run()
{
    m_fleet.time().runUntil(m_fleet.time().now() + 1s);
    if (m_theme == theme::changes) {
        m_fleet.setMangling(20);
        m_fleet.letLatePiecesPass();
    }
    if (m_theme == theme::lost_instances) {
        m_fleet.letSendsGoFirst();
    }
    for (int step = 0; step < steps; ++step) {
        m_fleet.time().runUntil(m_fleet.time().now() + someTime(1, longestStep));
        burst();
        if (m_random.below(4) != 0) {
            continue;
        }
        switch (m_theme) {
        case theme::cold_engines:
            coldEngine();
            break;
        case theme::lost_instances:
            lostInstance();
            break;
        case theme::changes:
            change();
            break;
        }
    }
    m_fleet.finish();
}

void heavy_schedule::burst()
{
    const size_t node = m_random.below(m_fleet.size());
    const std::uint64_t lookups = 4 + m_random.below(10);
    for (std::uint64_t number = 0; number < lookups; ++number) {
        request(node, "lookup");
    }
    request(m_random.below(m_fleet.size()), "deposit");
}

void heavy_schedule::request(size_t node, const char *workClass)
{
    request::caller_request made;
    made.id = request_id("r" + std::to_string(++m_requests));
    made.customer = customer_id(m_random.below(2) == 0 ? "c1" : "c2");
    made.workClass = class_id(workClass);
    if (made.workClass == class_id("lookup")) {
        made.model = model_id("pay");
        made.promptTokens = 200;
        made.maxNewTokens = 16;
    } else {
        made.service = service_id("counter");
        made.fingerprint = 1;
    }
    m_fleet.send(node, made);
    if (m_random.below(12) == 0) {
        m_fleet.time().after(someTime(1, 200), [this, id = made.id] {
            m_fleet.leave(id);
        });
    }
}

void heavy_schedule::coldEngine()
{
    static const char *const engines[] = { "g1", "g2", "g3", "g4", "g5" };
    fake_backend &engine = m_fleet.backend(engines[m_random.below(std::size(engines))]);
    if (m_random.below(4) == 0) {
        m_fleet.note("restart " + engine.server().id.str());
        return engine.restart();
    }
    m_fleet.note("chill " + engine.server().id.str());
    engine.chill();
}

// Sends and attempts are on their way when the fault begins, and it lasts longer than the lease of a view.
void heavy_schedule::lostInstance()
{
    static const char *const services[] = { "s1", "s2" };
    for (const char *service : services) {
        m_fleet.backend(service).setMood(m_random.below(2) == 0 ? backend_mood::slow : backend_mood::serves);
    }
    const size_t node = m_random.below(m_fleet.size());
    m_fleet.time().runUntil(m_fleet.time().now() + someTime(1, 4));
    switch (m_random.below(4)) {
    case 0:
        return m_fleet.withholdViews(node, someTime(1200, 3500));
    case 1:
        return m_fleet.cut(node, (node + 1) % m_fleet.size(), someTime(1200, 3500));
    default:
        return m_fleet.pause(node, someTime(1200, 3500));
    }
}

void heavy_schedule::change()
{
    m_fleet.change([this](config::configuration &config) {
        const customer_id second("c2");
        const class_id changed(m_random.below(2) == 0 ? "lookup" : "deposit");
        switch (m_random.below(3)) {
        case 0:
            config.customers.erase(second);
            return;
        case 1:
            config.customers.emplace(second, config::customer{ second });
            return;
        default:
            config.classes.at(changed).firstTokenTarget = someTime(200, 800);
            config.classes.at(changed).totalTarget = someTime(800, 2000);
        }
    });
    static const char *const engines[] = { "g1", "g2", "g3", "g4", "g5" };
    m_fleet.backend(engines[m_random.below(std::size(engines))]).breakConnection();
    if (m_random.below(4) == 0) {
        m_fleet.drain(bothCentres[m_random.below(2)], m_random.below(2) == 0);
    }
}

} // namespace mustardtrail::node::testing
