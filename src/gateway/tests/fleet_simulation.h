#pragma once

#include "base/random_source.h"
#include "gateway/report_exchange.h"

#include <map>
#include <memory>
#include <queue>
#include <set>

namespace mustardtrail::gateway::testing
{

/// Network of a simulated fleet.
struct network_conditions {
    std::chrono::microseconds delay{ 900 };
    double lossShare = 0.0;
    std::chrono::microseconds jitter{ 0 }; ///< Largest additional delay of a datagram.
};

/// Instances that exchange reports over a simulated network, on one fake clock. Datagrams pass through the codec.
class fleet_simulation
{
public:
    /// `count` instances spread over the data centres in turn, each with `serversPerDataCentre` engines. The first instance of
    /// each of up to three data centres is a seed of all others.
    fleet_simulation(unsigned count,
        unsigned dataCentres,
        unsigned serversPerDataCentre,
        network_conditions network,
        std::uint64_t seed,
        const resend_limits &resend = {});

    void runFor(std::chrono::milliseconds duration);
    /// Freezes the instance: it sends and receives nothing until it is woken up or restarted.
    void freeze(unsigned instance);
    void wake(unsigned instance);
    /// Starts the instance anew, without anything that it knew.
    void restart(unsigned instance);
    /// Starts the instance as at the first start of the fleet, when nothing was sent before.
    void restartFirst(unsigned instance);
    /// Cuts the data centre off from the others, or ends that.
    void setCut(unsigned dataCentre, bool isCut);
    /// Gives the instance one request at the server and reports it. Returns the request's number.
    std::uint64_t addWork(unsigned instance, server_key server, std::chrono::milliseconds prefillTime);
    /// Gives the instance the work, without a report.
    void addWork(unsigned instance, server_work work);
    /// Sends the report about a change at the instance.
    void report(unsigned instance);
    /// Sends the last report of the instance, which then is frozen.
    void stop(unsigned instance);
    void finishWork(unsigned instance, std::uint64_t request);
    /// Ends all requests of the instance.
    void finishAllWork(unsigned instance);

    fleet_state &state(unsigned instance);
    time_point now() const;
    unsigned size() const;
    static peer_address addressOf(unsigned instance);
    data_centre_id dataCentreOf(unsigned instance) const;
    server_key serverOf(unsigned dataCentre, unsigned index) const;

    struct traffic {
        std::uint64_t datagrams = 0;
        std::uint64_t bytes = 0;
    };
    /// Sent by the instance since the last call of resetTraffic.
    const traffic &sentBy(unsigned instance) const;
    std::uint64_t bytesBetweenDataCentres() const;
    void resetTraffic();

private:
    struct node {
        std::unique_ptr<fleet_state> state;
        std::unique_ptr<report_exchange> exchange;
        bool isFrozen = false;
        traffic sent;
    };

    struct datagram {
        time_point arrivesAt;
        std::uint64_t number = 0;
        unsigned target = 0;
        std::shared_ptr<const std::string> bytes;

        bool operator>(const datagram &other) const
        {
            return std::tuple(arrivesAt, number) > std::tuple(other.arrivesAt, other.number);
        }
    };

    void start(unsigned instance, time_point resendSlackFrom);
    void send(unsigned from, const std::vector<outgoing_report> &reports);
    bool isCutBetween(unsigned from, unsigned to) const;
    std::chrono::microseconds jitter();

    unsigned m_dataCentres;
    unsigned m_serversPerDataCentre;
    network_conditions m_network;
    resend_limits m_resend;
    random_source m_random;
    time_point m_now{};
    std::vector<node> m_nodes;
    std::set<unsigned> m_cut;
    std::priority_queue<datagram, std::vector<datagram>, std::greater<>> m_inFlight;
    std::uint64_t m_sentCount = 0;
    std::uint64_t m_bytesBetweenDataCentres = 0;
    std::uint64_t m_incarnations = 0;
    std::uint64_t m_requests = 0;
};

} // namespace mustardtrail::gateway::testing
