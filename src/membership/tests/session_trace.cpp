#include "tests/session_trace.h"

#include "base/hash.h"
#include "membership/peer_message.h"
#include "membership/peer_state_name.h"

#include <iomanip>
#include <sstream>

namespace mustardtrail::membership
{

namespace
{

using std::chrono::duration_cast;
using std::chrono::microseconds;

const char *kindName(peer_message_kind kind)
{
    switch (kind) {
    case peer_message_kind::probe:
        return "probe";
    case peer_message_kind::ack:
        return "ack";
    case peer_message_kind::indirect_probe:
        return "indirect_probe";
    }
    return "unknown";
}

std::string shortHash(const std::string &text)
{
    std::ostringstream out;
    out << std::hex << hash64(text);
    return out.str();
}

class describer
{
public:
    describer(const std::string &node, time_point now, const char *direction)
    {
        m_out << std::setw(9) << duration_cast<microseconds>(now.time_since_epoch()).count() << "us " << node << ' ' << direction << ' ';
    }

    void operator()(const clock_tick &)
    {
        m_out << "tick";
    }
    void operator()(const wall_clock_reading &event)
    {
        m_out << "wall_clock " << duration_cast<std::chrono::milliseconds>(event.at.time_since_epoch()).count() << "ms";
    }
    void operator()(const datagram_received &event)
    {
        m_out << "datagram from=" << toString(event.from);
        datagram(event.bytes);
    }
    void operator()(const config_read_result &event)
    {
        body("config", event.body);
    }
    void operator()(const live_list_result &event)
    {
        body("list", event.body);
    }
    void operator()(const delta_received &event)
    {
        body("delta", event.body);
        m_out << " peer=" << event.peer;
    }
    void operator()(const delta_requested &event)
    {
        m_out << "delta_requested " << event.request << " after=" << event.afterRevision;
    }
    void operator()(const load_summaries_set &event)
    {
        m_out << "load_summaries " << event.summaries.size();
    }
    void operator()(const fencing_seen &event)
    {
        m_out << "fencing_seen " << event.backend << ' ' << event.highest;
    }
    void operator()(const begin_stop &)
    {
        m_out << "begin_stop";
    }
    void operator()(const send_datagram &action)
    {
        m_out << "send to=" << toString(action.to);
        datagram(action.bytes);
    }
    void operator()(const read_config &action)
    {
        m_out << "read_config after=" << action.afterRevision << " wait=" << action.wait.count() << "ms timeout=" << action.timeout.count()
              << "ms";
    }
    void operator()(const read_live_list &action)
    {
        m_out << "read_list timeout=" << action.timeout.count() << "ms";
    }
    void operator()(const fetch_delta &action)
    {
        m_out << "fetch_delta peer=" << action.peer << " at=" << toString(action.view) << " after=" << action.afterRevision;
    }
    void operator()(const answer_delta &action)
    {
        m_out << "answer_delta " << action.request << " hash=" << shortHash(action.body);
    }
    void operator()(const publish_view &action)
    {
        const fleet_view &view = *action.view;
        m_out << "publish revision=" << view.config->revision
              << " confirmed_at=" << duration_cast<microseconds>(view.confirmedAt.time_since_epoch()).count() << "us"
              << (view.isolated ? " isolated" : "") << (view.selfLeaving ? " leaving" : "") << " peers=";
        for (const auto &[id, known] : view.peers) {
            m_out << id << ':' << toString(known.state) << ',';
        }
        m_out << " backends=";
        for (const auto &[id, assignment] : view.backends) {
            m_out << id << ':' << assignment.owner << (assignment.acceptsNewWork ? "" : ":stopped") << ',';
        }
    }
    void operator()(const load_summaries_received &action)
    {
        m_out << "load_summaries peer=" << action.peer << ' ' << action.summaries.size();
    }
    void operator()(const log_event &action)
    {
        m_out << "log " << action.line;
    }

    std::string text() const
    {
        return m_out.str();
    }

private:
    void body(const char *what, const result<std::string> &value)
    {
        m_out << what << ' ' << (value ? shortHash(*value) : toString(value.error().code));
    }

    void datagram(const std::string &bytes)
    {
        const auto message = decodePeerMessage(bytes);
        m_out << " bytes=" << bytes.size() << " hash=" << shortHash(bytes);
        if (!message) {
            m_out << " invalid";
            return;
        }
        m_out << ' ' << kindName(message->kind) << ' ' << message->sequence << " revision=" << message->configRevision;
        if (!message->subject.empty()) {
            m_out << " subject=" << message->subject;
        }
        for (const member_news &news : message->members) {
            m_out << ' ' << news.member.id << '=' << toString(news.member.state) << '/' << news.member.incarnation << '/'
                  << news.refutation;
        }
        for (const listing &news : message->listings) {
            m_out << ' ' << news.id << "=list" << static_cast<int>(news.state);
        }
    }

    std::ostringstream m_out;
};

} // namespace

std::string describe(const std::string &node, time_point now, const view_event &event)
{
    describer visitor(node, now, "<");
    std::visit(visitor, event);
    return visitor.text();
}

std::string describe(const std::string &node, time_point now, const view_action &action)
{
    describer visitor(node, now, ">");
    std::visit(visitor, action);
    return visitor.text();
}

} // namespace mustardtrail::membership
