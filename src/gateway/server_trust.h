#pragma once

#include "base/clock.h"
#include "base/ids.h"
#include "gateway/server_work.h"

#include <map>
#include <vector>

namespace mustardtrail::gateway
{

/// Which backend servers failed lately. Answers servers that crash, hang or fail requests while they are listed as good:
/// a suspect takes work only when nothing else can, and is tried again after a pause that doubles up to a limit. Two other
/// instances that suspect a server count like an own failure; one alone may be cut off itself.
class server_trust
{
public:
    void failed(server_key server, time_point now);
    void succeeded(server_key server);
    /// Bytes of an answer came from it.
    void heard(server_key server, time_point now);
    /// Whether bytes came from it lately, so that a request without an answer says little of the server.
    bool isTalking(server_key server, time_point now) const;
    /// What another instance suspects, in place of what it told before.
    void hear(const instance_id &peer, const std::vector<server_key> &suspects, time_point now);
    bool isSuspect(server_key server, time_point now) const;
    /// Those that failed this instance.
    std::vector<server_key> suspects(time_point now) const;

    static constexpr std::chrono::milliseconds firstPause{ 500 }; ///< About the time of a few short requests.
    static constexpr std::chrono::milliseconds opinionAge{ 1'000 }; ///< A few reports of an instance.
    static constexpr std::chrono::milliseconds talkAge{ 500 }; ///< Two long passes of an engine.
    static constexpr size_t opinions = 2; ///< Other instances that it takes.
    static constexpr std::chrono::milliseconds longestPause{ 4'000 }; ///< Below the usual length of an outage.

private:
    struct record {
        std::chrono::milliseconds pause{ 0 };
        time_point until{};
    };

    struct opinion {
        std::vector<server_key> suspects;
        time_point heardAt{};
    };

    std::map<server_key, record> m_records;
    std::map<server_key, time_point> m_heardAt;
    std::map<instance_id, opinion> m_opinions;
};

} // namespace mustardtrail::gateway
