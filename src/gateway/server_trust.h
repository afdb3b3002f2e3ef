#pragma once

#include "base/clock.h"
#include "gateway/server_work.h"

#include <map>

namespace mustardtrail::gateway
{

/// Which backend servers failed lately. Answers servers that crash, hang or fail requests while they are listed as good:
/// a suspect takes work only when nothing else can, and is tried again after a pause that doubles up to a limit.
class server_trust
{
public:
    void failed(server_key server, time_point now);
    void succeeded(server_key server);
    bool isSuspect(server_key server, time_point now) const;

    static constexpr std::chrono::milliseconds firstPause{ 500 }; ///< About the time of a few short requests.
    static constexpr std::chrono::milliseconds longestPause{ 4'000 }; ///< Below the usual length of an outage.

private:
    struct record {
        std::chrono::milliseconds pause{ 0 };
        time_point until{};
    };

    std::map<server_key, record> m_records;
};

} // namespace mustardtrail::gateway
