#pragma once

#include "membership/fleet_view.h"

#include <map>
#include <memory>
#include <string>

namespace mustardtrail::group::testing
{

/// "g" and 3 give "g3".
std::string numbered(std::string prefix, std::uint64_t number);

/// Data centre "dc1" with engines "g1".."gN" for model "pay".
config::configuration makeConfiguration(int engines, token_count memoryTokens);

/// View of instance `self` at a time, with an owner and a fencing number for each engine.
struct view_maker {
    std::shared_ptr<const config::configuration> config;
    instance_id self;
    std::map<backend_server_id, instance_id> owners;
    std::map<backend_server_id, std::uint64_t> fencing;
    bool isolated = false;

    std::shared_ptr<const membership::fleet_view> make(time_point confirmedAt) const;
};

/// Start of the tests' clock; not zero, which marks times that are not set.
constexpr time_point testStart{ std::chrono::hours(1) };

} // namespace mustardtrail::group::testing
