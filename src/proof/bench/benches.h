#pragma once

#include <string>

namespace mustardtrail::proof
{

/// Each starts a fleet of its own, prints its figures as lines of a markdown page and returns false when an answer
/// was wrong or the fleet was not ready. `binaries` is the folder of the programs.

/// Latency that the entry adds to a short streamed request: direct, through the owner, through the forwarded hop.
bool benchHop(const std::string &binaries, int requests);
/// Requests a second through one entry, and its processor time for each.
bool benchThroughput(const std::string &binaries);
/// Resident memory of one entry with open streams.
bool benchOpenStreams(const std::string &binaries, int streams);
/// Time until a drained data centre gets no new work and until a change is in force on all instances.
bool benchChanges(const std::string &binaries, int runs);
/// Requests lost in a planned stop of each entry in turn under load.
bool benchPlannedStop(const std::string &binaries);
/// Time to first token and refusals by prompt length while a data centre leaves and returns under load.
bool benchLeaveAndReturn(const std::string &binaries);
/// Processor share and control bytes of each view process at rest.
bool benchViewAtRest(const std::string &binaries, int instances);

} // namespace mustardtrail::proof
