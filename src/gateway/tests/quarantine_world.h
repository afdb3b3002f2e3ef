#pragma once

#include "gateway/prompt_quarantine.h"

#include <array>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace mustardtrail::gateway::testing
{

/// Two gateway instances with a quarantine each, and a few servers that end when they begin to answer on a guilty part.
/// Copied at each step of a search. Knows what really happened, which the quarantines have to find out.
class quarantine_world
{
public:
    using part_list = std::vector<prompt_part>;

    /// When news may be lost, verdicts are checked only after the instances have told each other everything.
    enum class news_loss { none, some };

    quarantine_world(unsigned servers, std::set<prompt_part> guiltyParts, news_loss loss = news_loss::none);

    /// A request reaches the instance, which refuses it or sends it to the server with the least work.
    void request(unsigned instance, const part_list &parts);
    /// As above, sent to this server.
    void requestAt(unsigned server, unsigned instance, const part_list &parts);
    /// The server's requests begin to be answered: they end it when one of them is guilty, else all are answered.
    void run(unsigned server);
    /// All servers end at one moment.
    void endAllServers();
    /// The instances tell each other their news.
    void exchange();
    /// The instance's news is sent and arrives later, or never.
    void send(unsigned instance);
    /// The oldest news on its way arrives; it may arrive again.
    void deliver(bool arrivesAgain);
    void wait(std::chrono::milliseconds time);
    /// The part ends no server any more, as the servers' program is mended.
    void heal(prompt_part part);

    bool isQuarantined(unsigned instance, prompt_part part) const;
    /// Crashes in a row since the last answer on the part, each of a request that was sent after the crash before.
    unsigned crashesInARow(prompt_part part) const;
    /// The same by the first request, without the crashes that another part in quarantine explains.
    unsigned unexplainedCrashesInARow(prompt_part part) const;
    /// Whether another part was at all those crashes and was not answered either.
    bool hasCompanion(prompt_part part) const;
    /// What an instance did wrong so far; empty when all is well.
    const std::string &fault() const;

private:
    struct running_request {
        unsigned instance = 0;
        part_list parts;
        time_point sentAt{};
        bool isTrial = false;
    };

    struct server_state {
        server_start_key start = 0;
        std::vector<running_request> running;
    };

    struct real_crash {
        time_point at{};
        std::map<prompt_part, std::pair<time_point, time_point>> sentAt; ///< Of the first and the last request with the part.
    };

    struct news_on_its_way {
        unsigned to = 0;
        quarantine_news news;
    };

    /// Notes a request that an instance sends although a part of it is in quarantine.
    void countTrial();
    void end(server_state &server);
    void answer(server_state &server);
    std::vector<const real_crash *> unansweredCrashes(prompt_part part) const;
    std::vector<const real_crash *> unexplainedCrashes(prompt_part part) const;
    bool wasAnsweredAfter(prompt_part part, time_point moment) const;
    /// Checks new verdicts, and closes the connections of requests that are now held back.
    void settle(bool knowAll);
    void checkVerdict(unsigned instance, prompt_part part);

    static constexpr unsigned instanceCount = 2;

    time_point m_now = time_point(std::chrono::seconds(100));
    server_start_key m_lastStart = 0;
    std::set<prompt_part> m_guilty;
    news_loss m_loss;
    std::vector<server_state> m_servers;
    std::array<prompt_quarantine, instanceCount> m_instances;
    std::vector<news_on_its_way> m_onTheirWay;
    std::vector<real_crash> m_crashes;
    std::map<prompt_part, time_point> m_answeredAt;
    std::vector<time_point> m_trialsAt;
    unsigned m_failedTrials = 0;
    std::string m_fault;
};

} // namespace mustardtrail::gateway::testing
