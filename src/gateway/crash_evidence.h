#pragma once

#include "base/clock.h"
#include "gateway/peer_address.h"
#include "gateway/prompt_part.h"
#include "gateway/server_work.h"

#include <map>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// Observer of a crash that an instance of an earlier release told of, or of which there is proof. Never in doubt.
inline constexpr peer_address unnamedObserver = 0;

/// End of one start of a backend server, with the parts of the prompts that it was reading or had just begun to answer.
struct crash_evidence {
    server_start_key server = 0;
    time_point at{};
    std::map<prompt_part, time_point> sentAt; ///< When a request with the part was sent to the server.
    std::map<prompt_part, unsigned> positions{}; ///< In the prompt, of those after the first; the last one of several.
    std::set<prompt_part> answeredBefore{}; ///< An answer on the part had been written in the seconds before the crash.
    std::set<peer_address> observers{}; ///< Instances that lost their connections to it; some of them. None: `unnamedObserver`.
};

/// An instance lost its connections to several servers at once.
struct observer_loss {
    peer_address observer = 0;
    time_point from{};
    time_point until{};
};

/// Adds what another instance knows of the same crash, for at most `maxParts` parts. Returns whether it is news.
bool mergeEvidence(crash_evidence &known, const crash_evidence &heard, size_t maxParts);

/// An answer was written on a part, which clears it of all earlier crashes.
struct written_part {
    prompt_part part = 0;
    time_point at{};
};

/// A part that crashes the servers that begin to answer on it.
struct quarantined_part {
    prompt_part part = 0;
    time_point since{}; ///< Of the latest crash that it is held responsible for.
    unsigned failedTrials = 0;
    unsigned crashes = 0; ///< In a row, that convicted it. An instance that knows as many decides itself. 0: not known.
};

/// A start of a backend server was found to run at that time: an earlier loss of a connection to it was no crash.
struct server_sighting {
    server_start_key server = 0;
    time_point at{};
};

/// What an instance tells the others about parts that crash servers. Merging is idempotent and independent of the order.
struct quarantine_news {
    std::vector<crash_evidence> crashes;
    std::vector<written_part> written;
    std::vector<quarantined_part> quarantined;
    std::vector<server_sighting> sightings;
    std::vector<observer_loss> losses{};
};

} // namespace mustardtrail::gateway
