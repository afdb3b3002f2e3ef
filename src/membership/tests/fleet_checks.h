#pragma once

#include "tests/fake_fleet.h"

#include <functional>

namespace mustardtrail::membership
{

/// True when the condition holds at every node that runs and has a view.
inline bool everyone(fake_fleet &fleet, const std::function<bool(int)> &condition)
{
    for (int index = 0; index < fleet.size(); ++index) {
        if (fleet.isUp(index) && (fleet.view(index) == nullptr || !condition(index))) {
            return false;
        }
    }
    return true;
}

inline bool allSee(fake_fleet &fleet, int subject, peer_state state)
{
    return everyone(fleet, [&](int index) {
        return index == subject || fleet.stateAt(index, subject) == state;
    });
}

inline bool allAtRevision(fake_fleet &fleet)
{
    return everyone(fleet, [&](int index) {
        return fleet.view(index)->config->revision == fleet.platform.revision();
    });
}

inline bool acceptsWork(fake_fleet &fleet, int index, const std::string &server)
{
    return fleet.view(index)->backends.at(backend_server_id(server)).acceptsNewWork;
}

inline instance_id ownerAt(fake_fleet &fleet, int index, const std::string &server)
{
    return fleet.view(index)->backends.at(backend_server_id(server)).owner;
}

} // namespace mustardtrail::membership
