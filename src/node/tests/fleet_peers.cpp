#include "node/tests/fleet.h"

#include <boost/json/object.hpp>

namespace mustardtrail::node::testing
{

using namespace std::chrono_literals;

namespace
{

/// How long an instance takes to notice that a hop is cut.
constexpr std::uint64_t longestDetection = 300;

error peerError(verdict outcome)
{
    const auto code = outcome == verdict::not_run ? error_code::peer_connect_failed : error_code::peer_connection_lost;
    return { code, outcome, "in test", {} };
}

} // namespace

// Times travel as what is left of them, as between processes.
void fleet::act(size_t node, const forward_attempt &action)
{
    const attempt_id attempt = action.attempt.work.attempt;
    const size_t target = nodeAt(action.to).value();
    if (!reaches(node, target)) {
        m_time.after(250ms, [this, node, attempt] {
            deliver(node, request::attempt_failed{ attempt, peerError(verdict::not_run), {} });
        });
        return;
    }
    ++m_counts["forwarded"];
    m_hops[attempt] = { node, target, {} };
    const boost::json::object message = toJson(action.attempt, m_time.now());
    m_time.after(travel(), [this, target, attempt, message, text = action.attempt.deliveredText] {
        if (!m_hops.contains(attempt)) {
            return;
        }
        hop_attempt arrived = hopAttemptFromJson(message, m_time.now()).value();
        arrived.deliveredText = text;
        deliver(target, hop_arrived{ arrived });
    });
}

void fleet::act(size_t, const close_hop &action)
{
    const auto found = m_hops.find(action.attempt);
    if (found == m_hops.end()) {
        return;
    }
    const size_t owner = found->second.owner;
    m_hops.erase(found);
    deliverSoon(owner, hop_closed{ action.attempt });
}

void fleet::failHop(const attempt_id &attempt)
{
    const hop failed = m_hops.at(attempt);
    m_hops.erase(attempt);
    m_time.after(std::chrono::milliseconds(1 + m_random.below(longestDetection)), [this, failed, attempt] {
        deliver(failed.origin, request::attempt_failed{ attempt, peerError(verdict::may_have_run), {} });
    });
    m_time.after(std::chrono::milliseconds(1 + m_random.below(longestDetection)), [this, failed, attempt] {
        deliver(failed.owner, hop_closed{ attempt });
    });
}

void fleet::act(size_t, const reply_on_hop &action)
{
    const auto found = m_hops.find(action.attempt);
    if (found == m_hops.end()) {
        return;
    }
    const entry_event event = std::visit(
        [](const auto &item) {
            return entry_event(item);
        },
        action.event);
    const bool isLast
        = std::holds_alternative<request::attempt_finished>(action.event) || std::holds_alternative<request::attempt_failed>(action.event);
    hop &through = found->second;
    const size_t origin = through.origin;
    const time_point due = isLast ? std::max(through.last, m_time.now() + 1ms) : m_time.now() + travel();
    through.last = std::max(through.last, due);
    const int copies = mangles() ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        m_time.at(due + copy * 3ms, [this, origin, event, attempt = action.attempt, isLast, load = action.load] {
            if (!m_hops.contains(attempt)) {
                return;
            }
            if (load) {
                deliver(origin, summary_received{ *load });
            }
            if (isLast) {
                m_hops.erase(attempt);
            }
            deliver(origin, event);
        });
    }
}

void fleet::act(size_t node, const call_peer &action)
{
    const std::uint64_t call = ++m_lastCall;
    m_calls[call] = { node, action.call };
    const auto target = nodeAt(action.to);
    if (!target || !reaches(node, *target)) {
        m_time.after(action.timeout, [this, call] {
            answerCall(call, tl::unexpected(peerError(verdict::not_run)));
        });
        return;
    }
    const int copies = mangles() ? 2 : 1;
    for (int copy = 0; copy < copies; ++copy) {
        m_time.after(travel(), [this, node, to = *target, call, action] {
            if (reaches(node, to)) {
                deliver(to, peer_call{ call, action.method, action.parameters });
            }
        });
    }
    m_time.after(action.timeout, [this, call] {
        answerCall(call, tl::unexpected(peerError(verdict::may_have_run)));
    });
}

void fleet::act(size_t node, const peer_answer &action)
{
    m_time.after(travel(), [this, node, action] {
        const auto found = m_calls.find(action.call);
        if (found != m_calls.end() && reaches(node, found->second.caller)) {
            answerCall(action.call, action.answer);
        }
    });
}

void fleet::answerCall(std::uint64_t call, const result<boost::json::value> &answer)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end()) {
        return;
    }
    const peer_wait wait = found->second;
    m_calls.erase(found);
    if (wait.call != 0) {
        deliver(wait.caller, peer_answered{ wait.call, answer });
    }
}

void fleet::act(size_t node, const publish_summary &action)
{
    for (size_t other = 0; other < m_hosts.size(); ++other) {
        if (other == node || !reaches(node, other)) {
            continue;
        }
        m_time.after(travel(), [this, other, summary = action.summary] {
            deliver(other, summary_received{ summary });
        });
    }
}

} // namespace mustardtrail::node::testing
