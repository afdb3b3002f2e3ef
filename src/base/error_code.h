#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail
{

/// Stable number of an error or message, written "MT-0042". Numbers are never reused.
/// 1xxx settings, 2xxx configuration, 3xxx callers' requests, 4xxx placement and retries,
/// 5xxx backend servers and orders, 6xxx peers and membership.
enum class error_code : int {
    none = 0,

    settings_unknown_key = 1001,
    settings_duplicate_key = 1002,
    settings_missing_key = 1003,
    settings_bad_unit = 1004,
    settings_out_of_range = 1005,
    settings_bad_syntax = 1006,
    settings_unreadable = 1007,

    config_bad_syntax = 2001,
    config_unknown_key = 2002,
    config_missing_key = 2003,
    config_wrong_type = 2004,
    config_out_of_range = 2005,
    config_duplicate_id = 2006,
    config_unknown_reference = 2007,
    config_too_large = 2008,
    config_revision_went_back = 2009,
    config_bad_unit = 2010,
    config_duplicate_key = 2011,
    config_more_problems = 2012,
    config_incomplete = 2013,

    preview_model_without_engine = 2101,
    preview_class_without_engine = 2102,
    preview_longest_prompt_shrinks = 2103,
    preview_service_without_backend_server = 2104,
    preview_load_grows = 2105,
    preview_no_data_centre = 2106,

    request_malformed = 3001,
    request_too_large = 3002,
    request_truncated = 3003,
    request_unknown_class = 3004,
    request_unknown_customer = 3005,
    request_unknown_model = 3006,
    request_unknown_path = 3007,
    request_header_missing = 3008,
    request_timeout = 3009,
    request_wrong_method = 3010,
    idempotency_key_reused = 3011,

    target_unreachable = 4001,
    queue_full = 4002,
    no_backend_server = 4003,
    prompt_exceeds_fleet = 4004,
    deadline_exceeded = 4005,
    retry_budget_spent = 4006,
    duplicate_attempt = 4007,
    view_not_confirmed = 4008,
    instance_stopping = 4009,
    group_memory_busy = 4010,
    memory_budget_spent = 4011,
    caller_gone = 4012,

    backend_connect_failed = 5001,
    backend_connection_lost = 5002,
    backend_refused = 5003,
    backend_answer_invalid = 5004,
    backend_timeout = 5005,
    order_fenced_off = 5006,

    peer_connect_failed = 6001,
    peer_connection_lost = 6002,
    peer_message_invalid = 6003,
    not_owner = 6004,
};

/// "MT-" and four digits.
std::string toString(error_code code);
/// Parses "MT-4001"; empty when the text has another form. Does not check that the number is listed above.
std::optional<error_code> errorCodeFromString(std::string_view text);

} // namespace mustardtrail
