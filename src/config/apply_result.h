#pragma once

#include "config/config_problem.h"

#include <cstdint>
#include <string_view>
#include <vector>

namespace mustardtrail::config
{

enum class update_source {
    service, ///< The platform's configuration service.
    peer,
};

enum class apply_outcome {
    accepted, ///< In force now: a higher revision, or the same one with keys that were lacking.
    unchanged, ///< Same revision, same content.
    older, ///< Below the revision in force; ignored.
    conflicting, ///< Same revision, other content; ignored.
    invalid, ///< Refused whole; see the problems.
    needs_full, ///< Does not follow what is in force; ask again from askAfter.
};

struct apply_result {
    apply_outcome outcome = apply_outcome::unchanged;
    std::vector<config_problem> problems;
    bool refusedBefore = false; ///< The same update was refused earlier and was not read again.
    std::int64_t askAfter = 0; ///< For needs_full: revision to ask from; 0 asks for everything.
};

std::string_view toString(update_source source);
std::string_view toString(apply_outcome outcome);

} // namespace mustardtrail::config
