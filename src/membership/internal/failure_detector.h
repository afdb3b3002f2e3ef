#pragma once

#include "base/random_source.h"
#include "membership/internal/member_table.h"
#include "membership/internal/outgoing_message.h"
#include "membership/internal/probe_order.h"

#include <functional>
#include <map>
#include <vector>

namespace mustardtrail::membership
{

/// Probes a few members in turn at a fixed rate, asks others to probe those that do not answer, and suspects those
/// that nobody reaches. Fills in kind, sequence, sender and subject of a message; the caller adds the rest.
class failure_detector
{
public:
    failure_detector(member_table &members, const detector_settings &settings, random_source &random);

    /// Called with the time at which the answered probe was sent.
    std::function<void(const instance_id &, time_point sentAt, time_point now)> onAck;

    std::vector<outgoing_message> tick(time_point now);
    std::vector<outgoing_message> received(const peer_message &message, const endpoint &from, time_point now);
    /// Probes at once, beside the fixed rate: after a pause, and when something new must spread.
    std::vector<outgoing_message> probeNow(int count, time_point now);
    /// After a pause of this process: open probes prove nothing.
    void restartTimeouts(time_point now);

private:
    struct open_probe {
        instance_id target;
        time_point sentAt{};
        bool helpersAsked = false;
        endpoint relayTo; ///< Empty: the probe is this node's own.
        std::uint32_t relaySequence = 0;
    };

    instance_id chooseTarget();
    instance_id chooseRemote();
    instance_id chooseSuspect();
    instance_id chooseDead();
    outgoing_message probe(const instance_id &target, time_point now);
    outgoing_message reply(const peer_message &message, const endpoint &from) const;
    outgoing_message relayedAck(const open_probe &probe) const;
    void askHelpers(std::uint32_t sequence, const open_probe &probe, std::vector<outgoing_message> &out);
    void checkOpenProbes(time_point now, std::vector<outgoing_message> &out);
    void receivedAck(const peer_message &message, time_point now, std::vector<outgoing_message> &out);

    member_table &m_members;
    detector_settings m_settings;
    random_source &m_random;
    probe_order m_localOrder;
    probe_order m_remoteOrder;
    probe_order m_suspectOrder;
    probe_order m_deadOrder;
    probe_order m_helperOrder;
    std::map<std::uint32_t, open_probe> m_open;
    std::uint32_t m_sequence = 0;
    time_point m_nextProbe{};
    std::uint64_t m_probes = 0;
};

} // namespace mustardtrail::membership
