#pragma once

#include "base/error_code.h"
#include "base/ids.h"
#include "base/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Sign at the start of each line that operators read.
enum class change_sign : char {
    added = '+', ///< Comes into service or is new.
    removed = '-', ///< Leaves service or is gone.
    warning = '!', ///< Cannot be met with what remains.
    same = '=', ///< Stays in service, with the values shown.
};

enum class change_subject {
    data_centre,
    instance,
    backend_server,
    work_class,
    customer,
    model,
    weight_store,
};

enum class change_kind {
    added,
    removed,
    drains, ///< Gets no new work; what runs there finishes.
    returns,
    changed,
    more, ///< So many further lines of this sort were left out.
};

/// One thing that the new configuration does.
struct change_line {
    change_sign sign = change_sign::same;
    change_subject subject = change_subject::data_centre;
    change_kind kind = change_kind::changed;
    std::string id;
    std::string before; ///< Empty: was not there.
    std::string after; ///< Empty: is not there.
    std::string unit; ///< Word of the catalogue for what the two values count; empty for names and values with units.

    bool operator==(const change_line &) const = default;
};

/// Engines in service for one model in one data centre, before and after.
struct capacity_row {
    change_sign sign = change_sign::same;
    model_id model;
    data_centre_id dataCentre; ///< Empty: all data centres together.
    int enginesBefore = 0;
    int enginesAfter = 0;
    token_count memoryBefore = 0;
    token_count memoryAfter = 0;
    int loadPercent = 0; ///< All data centres: work on each token of memory that remains, against 100 before; 0 when none remains.

    bool operator==(const capacity_row &) const = default;
};

/// Longest prompt that the engines of one data centre hold together.
struct longest_prompt_row {
    change_sign sign = change_sign::same;
    model_id model;
    token_count before = 0;
    token_count after = 0;

    bool operator==(const longest_prompt_row &) const = default;
};

/// What cannot be met with what remains.
struct preview_warning {
    error_code code = error_code::none;
    std::string id;
    std::string before;
    std::string after;
    std::string unit; ///< As in change_line.

    bool operator==(const preview_warning &) const = default;
};

struct preview_report {
    std::int64_t revisionBefore = 0;
    std::int64_t revisionAfter = 0;
    std::vector<change_line> changes;
    std::vector<capacity_row> capacity;
    std::vector<longest_prompt_row> longestPrompts;
    std::vector<preview_warning> warnings;

    bool operator==(const preview_report &) const = default;
};

} // namespace mustardtrail::config
