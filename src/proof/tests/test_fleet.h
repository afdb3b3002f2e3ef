#pragma once

#include "proof/fleet/background_load.h"
#include "proof/fleet/process_fleet.h"

namespace mustardtrail::proof
{

/// Fleet of the test programs' folder, started and ready; fails the test otherwise.
std::unique_ptr<process_fleet> startedFleet(fleet_options options = {});

/// Bytes of a prompt of 1,000 tokens.
constexpr size_t shortPrompt = 4'000;

/// Fails the test unless every answer of the load was whole and right, or refused as not run.
void expectNoFaults(const background_load &load);

/// True when a lookup through the instance gives its whole answer.
bool serves(process_fleet &fleet, size_t instance);

/// Counter of a stand-in's control port.
std::int64_t counterOf(const endpoint &controlPort, const std::string &name);

/// Times that an effect with this key ran at the service.
std::int64_t effectsOf(const process_fleet &fleet, const std::string &key);

/// Requests that ran at the engines of a data centre.
std::int64_t requestsIn(const process_fleet &fleet, const std::string &dataCentre);

/// True when every instance has what the platform published last in force.
bool newestIsInForce(const process_fleet &fleet);

/// True when no engine holds memory for a stream or a group.
bool allMemoryIsFree(const process_fleet &fleet);

} // namespace mustardtrail::proof
