#include "node/entry_node.h"

#include "group/reservation_codec.h"
#include "node/internal/origin_side.h"
#include "node/internal/owner_side.h"
#include "node/peer_methods.h"

#include <deque>

namespace mustardtrail::node
{

namespace json = boost::json;

/// Joins the two sides; events that one side makes for the other wait until the first has finished its step.
class entry_node::implementation
{
public:
    explicit implementation(entry_options options)
        : m_owner(options,
            [this](const attempt_event &event, bool isLocal, time_point) {
                if (isLocal) {
                    m_pending.push_back(event);
                }
            })
        , m_origin(options, m_owner)
    {
    }

    entry_actions handle(const entry_event &event, time_point now)
    {
        entry_actions out;
        std::visit(
            [&](const auto &item) {
                on(item, now, out);
            },
            event);
        deliver(now, out);
        return out;
    }

    std::optional<time_point> nextWake(time_point now) const
    {
        const auto owner = m_owner.nextWake(now);
        const auto origin = m_origin.nextWake();
        if (!owner || !origin) {
            return owner ? owner : origin;
        }
        return std::min(*owner, *origin);
    }

    size_t runningRequests() const
    {
        return m_origin.runningRequests() + m_owner.runningAttempts();
    }

    json::object dump(time_point now) const
    {
        return { { "origin", m_origin.dump(now) }, { "owner", m_owner.dump(now) } };
    }

private:
    void deliver(time_point now, entry_actions &out)
    {
        while (!m_pending.empty()) {
            const attempt_event event = std::move(m_pending.front());
            m_pending.pop_front();
            m_origin.onAttempt(event, now, out);
        }
    }

    void on(const request::caller_request &event, time_point now, entry_actions &out)
    {
        m_origin.onRequest(event, now, out);
    }
    void on(const request::caller_gone &event, time_point now, entry_actions &out)
    {
        m_origin.onRequest(event, now, out);
    }
    void on(const request::attempt_accepted &event, time_point now, entry_actions &out)
    {
        m_origin.onAttempt(event, now, out);
    }
    void on(const request::attempt_output &event, time_point now, entry_actions &out)
    {
        m_origin.onAttempt(event, now, out);
    }
    void on(const request::attempt_finished &event, time_point now, entry_actions &out)
    {
        m_origin.onAttempt(event, now, out);
    }
    void on(const request::attempt_failed &event, time_point now, entry_actions &out)
    {
        m_origin.onAttempt(event, now, out);
    }
    void on(const view_received &event, time_point now, entry_actions &out)
    {
        m_owner.onView(event.view, now, out);
        m_origin.onView(event.view, now, out);
    }
    void on(const hop_arrived &event, time_point now, entry_actions &out)
    {
        m_owner.admit(event.attempt, false, now, out);
    }
    void on(const hop_closed &event, time_point now, entry_actions &out)
    {
        m_owner.abandon(event.attempt, now, out);
    }
    void on(const backend_reported &event, time_point now, entry_actions &out)
    {
        m_owner.onBackend(event, now, out);
    }
    void on(const engine_read &event, time_point now, entry_actions &out)
    {
        m_owner.onEngineRead(event, now, out);
    }
    void on(const group::engine_replied &event, time_point now, entry_actions &out)
    {
        m_origin.onGroup(event, now, out);
    }
    void on(const summary_received &event, time_point now, entry_actions &)
    {
        m_origin.onSummary(event.summary, now);
    }
    void on(const peer_call &event, time_point now, entry_actions &out)
    {
        out.push_back(peer_answer{ event.call, answerTo(event, now, out) });
    }
    void on(const peer_answered &event, time_point now, entry_actions &out)
    {
        m_origin.onPeerAnswer(event, now, out);
    }
    void on(const begin_stop &, time_point now, entry_actions &out)
    {
        m_origin.beginStop(now, out);
    }
    void on(const end_stop &, time_point now, entry_actions &out)
    {
        m_origin.handOverKeys(now, out);
    }
    void on(const clock_tick &, time_point now, entry_actions &out)
    {
        m_owner.onTick(now, out);
        m_origin.onTick(now, out);
    }

    result<json::value> answerTo(const peer_call &call, time_point now, entry_actions &out)
    {
        if (call.method == peer_method::claimKey || call.method == peer_method::endKey || call.method == peer_method::handOverKeys) {
            return m_origin.onKeyCall(call, now);
        }
        if (call.method == peer_method::reserve) {
            const auto request = group::reserveRequestFromJson(call.parameters);
            return request ? result<json::value>(group::toJson(m_owner.reserve(*request, now))) : tl::unexpected(request.error());
        }
        if (call.method == peer_method::release) {
            const auto request = group::releaseRequestFromJson(call.parameters);
            if (!request) {
                return tl::unexpected(request.error());
            }
            m_owner.release(*request, now, out);
            return json::value(json::object());
        }
        return tl::unexpected(error{ error_code::peer_message_invalid, verdict::not_run, "method=" + call.method, {} });
    }

    std::deque<attempt_event> m_pending;
    owner_side m_owner;
    origin_side m_origin;
};

entry_node::entry_node(entry_options options)
    : m_implementation(std::make_unique<implementation>(std::move(options)))
{
}

entry_node::~entry_node() = default;

entry_actions entry_node::handle(const entry_event &event, time_point now)
{
    return m_implementation->handle(event, now);
}

std::optional<time_point> entry_node::nextWake(time_point now) const
{
    return m_implementation->nextWake(now);
}

size_t entry_node::runningRequests() const
{
    return m_implementation->runningRequests();
}

json::object entry_node::dump(time_point now) const
{
    return m_implementation->dump(now);
}

} // namespace mustardtrail::node
