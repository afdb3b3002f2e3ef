#pragma once

#include "base/endpoint.h"
#include "base/ids.h"

#include <set>

namespace mustardtrail::gateway
{

/// One attempt of a caller, and the backend servers that it was sent to. All sends of the attempt share one object.
class sent_attempt
{
public:
    explicit sent_attempt(attempt_id id);

    const attempt_id &id() const;
    /// Records a send. Returns whether it needs a new connection: on one that carried the attempt before, or any other request if
    /// the attempt has no id, an extra response to that earlier request could not be told from the response to this send.
    bool recordSend(const endpoint &server);
    /// The connection of a send was lost: so may be all that were open then, also to other servers. Each later send needs a new one.
    void recordLoss();

private:
    attempt_id m_id;
    bool m_hasLostSend = false;
    std::set<endpoint> m_servers;
};

} // namespace mustardtrail::gateway
