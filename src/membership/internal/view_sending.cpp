#include "membership/internal/view_logic.h"

namespace mustardtrail::membership
{

namespace
{

constexpr int listingsPerDatagram = 8;

// What is left out was counted as passed on; the other nodes still spread it.
std::string encodeWithinBound(peer_message &message)
{
    std::string bytes = encode(message);
    while (bytes.size() > maxDatagramBytes && !(message.ownerLoads.empty() && message.listings.empty() && message.members.empty())) {
        if (!message.ownerLoads.empty()) {
            message.ownerLoads.pop_back();
        } else if (!message.listings.empty()) {
            message.listings.pop_back();
        } else {
            message.members.pop_back();
        }
        bytes = encode(message);
    }
    return bytes;
}

} // namespace

void view_logic::send(std::vector<outgoing_message> messages, time_point now)
{
    for (outgoing_message &out : messages) {
        complete(out, now);
        m_out.emplace_back(send_datagram{ out.to, encodeWithinBound(out.message) });
    }
}

// Origins of other data centres learn the load from the answers to what they forward.
bool view_logic::takesLoads(const instance_id &receiver, time_point now)
{
    const member *known = m_loads.empty() ? nullptr : m_members.find(receiver);
    const bool isLocal = known != nullptr && known->news.member.dataCentre == m_settings.dataCentre;
    return isLocal && m_loadSchedule.take(receiver, now);
}

// Only a probe tells the sender's addresses: whoever acks was told them before, or they are in the list.
void view_logic::complete(outgoing_message &out, time_point now)
{
    peer_message &message = out.message;
    message.cluster = m_cluster;
    if (message.kind != peer_message_kind::probe) {
        message.sender.member.requests = {};
        message.sender.member.heartbeats = {};
    }
    message.configRevision = m_config.store().revision();
    message.configAge = m_config.age(now);
    message.listAge = m_list.duty().age(now);
    message.logicalTime = m_clock.current();
    if (takesLoads(out.receiver, now)) {
        message.ownerLoads = m_loads;
    }
    message.members = m_members.takeNews(out.receiver, m_settings.detector.newsPerDatagram, !m_confirmation.isIsolated());
    message.listings
        = m_list.takeNews(listingsPerDatagram, newsRepeats(m_settings.detector.listingRepeatFactor, m_members.members().size() + 1));
}

} // namespace mustardtrail::membership
