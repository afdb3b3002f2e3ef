#include "node/tests/schedule.h"

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

constexpr int steps = 60;
constexpr unsigned longestStep = 120;
constexpr token_count beyondOneEngine = 60'000;
constexpr std::uint64_t faultSalt = 0x9e3779b9;

request::caller_request makeRequest(unsigned number)
{
    request::caller_request made;
    made.id = request_id("r" + std::to_string(number));
    made.customer = customer_id("c1");
    return made;
}

} // namespace

schedule::schedule(std::uint64_t seed)
    : m_random(seed ^ faultSalt)
    , m_fleet(seed)
    , m_faultPercent(static_cast<unsigned>(m_random.below(30)))
{
}

void schedule::record()
{
    m_fleet.record();
}

const session_trace &schedule::trace()
{
    return m_fleet.trace();
}

std::uint64_t schedule::count(const std::string &what) const
{
    return m_fleet.count(what);
}

std::chrono::milliseconds schedule::someTime(unsigned longest)
{
    return std::chrono::milliseconds(1 + m_random.below(longest));
}

void schedule::run()
{
    m_fleet.time().runUntil(m_fleet.time().now() + 1s);
    if (m_random.below(3) == 0) {
        m_fleet.setMangling(20);
    }
    for (int step = 0; step < steps; ++step) {
        m_fleet.time().runUntil(m_fleet.time().now() + someTime(longestStep));
        if (m_random.below(100) < m_faultPercent) {
            fault();
        } else if (!m_keyed.empty() && m_random.below(5) == 0) {
            again();
        } else {
            request();
        }
    }
    m_fleet.finish();
}

void schedule::request()
{
    request::caller_request made = makeRequest(++m_requests);
    const auto draw = m_random.below(10);
    made.workClass = class_id(draw < 5 ? "lookup" : draw < 6 ? "review" : draw < 7 ? "history" : "deposit");
    if (draw < 7) {
        made.model = model_id("pay");
        made.promptTokens = draw < 5 ? 1000 : draw < 6 ? 20'000 : beyondOneEngine;
        made.maxNewTokens = 16;
    } else {
        made.service = service_id("counter");
        made.fingerprint = 1;
        made.idempotencyKey = m_random.below(4) == 0 ? "" : "k" + std::to_string(m_requests);
    }
    if (!made.idempotencyKey.empty()) {
        m_keyed.push_back(made);
    }
    m_fleet.send(m_random.below(m_fleet.size()), made);
    if (m_random.below(12) == 0) {
        m_fleet.time().after(someTime(200), [this, id = made.id] {
            m_fleet.leave(id);
        });
    }
}

// A caller that got no answer sends the same request through another instance.
void schedule::again()
{
    request::caller_request made = m_keyed[m_random.below(m_keyed.size())];
    made.id = request_id("r" + std::to_string(++m_requests));
    // Homes that were replaced know nothing of the first try, so then the caller has to say that there was one.
    made.callerRetry = !m_fleet.viewsAgree() || m_random.below(2) == 0;
    m_fleet.send(m_random.below(m_fleet.size()), made);
}

void schedule::fault()
{
    const size_t node = m_random.below(m_fleet.size());
    const size_t other = (node + 1) % m_fleet.size();
    static const char *const backends[] = { "g1", "g2", "g3", "g4", "g5", "s1", "s2" };
    fake_backend &backend = m_fleet.backend(backends[m_random.below(std::size(backends))]);
    switch (m_random.below(9)) {
    case 0:
        return m_fleet.kill(node);
    case 1:
        return m_fleet.pause(node, someTime(3000));
    case 2:
        return m_fleet.cut(node, other, someTime(3000));
    case 3:
        m_fleet.note("restart " + backend.server().id.str());
        return backend.restart();
    case 4:
        return m_fleet.drain(data_centre_id(m_random.below(2) == 0 ? "dc1" : "dc2"), m_random.below(2) == 0);
    case 5:
        return m_fleet.withholdViews(node, someTime(3000));
    case 6:
        if (!std::exchange(m_stopped, true)) {
            m_fleet.stop(node);
        }
        return;
    case 7:
        m_fleet.note("break " + backend.server().id.str());
        return backend.breakConnection();
    default:
        const auto mood = static_cast<backend_mood>(m_random.below(5));
        m_fleet.note("mood " + backend.server().id.str() + " " + std::to_string(static_cast<int>(mood)));
        return backend.setMood(mood);
    }
}

} // namespace mustardtrail::node::testing
