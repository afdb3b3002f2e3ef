#include "programs/entry/engine_report_reader.h"

#include "base/json_access.h"

#include <algorithm>
#include <charconv>

namespace mustardtrail::entry
{

namespace json = boost::json;
using std::chrono::milliseconds;

result<placement::engine_report> engineReportFrom(const backend_server_id &backend, std::string_view text, time_point receivedAt)
{
    const json::object message = json_access::objectFromText(text);
    if (!message.contains("incarnation")) {
        return tl::unexpected(error{ error_code::backend_answer_invalid, verdict::ran, "report backend=" + backend.str(), {} });
    }
    placement::engine_report report;
    report.backend = backend;
    report.incarnation = json_access::unsignedOr(message, "incarnation", 0);
    report.takenAt = receivedAt - milliseconds(std::max<std::int64_t>(0, json_access::numberOr(message, "age_ms", 0)));
    report.warm = json_access::boolOr(message, "warm", false);
    report.runningRequests = static_cast<int>(json_access::numberOr(message, "running", 0));
    report.queuedPrefillTokens = json_access::numberOr(message, "queued_prefill_tokens", 0);
    report.memoryTokens = json_access::numberOr(message, "memory_tokens", 0);
    report.usedTokens = json_access::numberOr(message, "used_tokens", 0);
    report.prefillTokensPerSecond = json_access::realOr(message, "prefill_tokens_per_second", 0);
    report.decodeTokensPerSecond = json_access::realOr(message, "decode_tokens_per_second", 0);
    report.highestFencingNumber = json_access::unsignedOr(message, "highest_fencing", 0);
    if (const json::array *streams = json_access::arrayAt(message, "streams")) {
        for (const json::value &value : *streams) {
            if (const json::object *stream = value.if_object()) {
                report.streams.push_back({ attempt_id(json_access::textOr(*stream, "attempt")),
                    json_access::numberOr(*stream, "held_tokens", 0),
                    json_access::unsignedOr(*stream, "fencing", 0) });
            }
        }
    }
    return report;
}

std::vector<placement::cache_event> cacheEventsFrom(std::string_view text)
{
    std::vector<placement::cache_event> events;
    const json::object message = json_access::objectFromText(text);
    const json::array *list = json_access::arrayAt(message, "events");
    for (const json::value &value : list != nullptr ? *list : json::array()) {
        const json::object *item = value.if_object();
        if (item == nullptr) {
            continue;
        }
        placement::cache_event event;
        event.sequence = json_access::unsignedOr(*item, "seq", 0);
        event.kind
            = json_access::textOr(*item, "kind") == "stored" ? placement::cache_event_kind::stored : placement::cache_event_kind::evicted;
        const std::string prefix = json_access::textOr(*item, "prefix");
        std::from_chars(prefix.data(), prefix.data() + prefix.size(), event.prefixHash, 16);
        events.push_back(event);
    }
    return events;
}

std::vector<group::reported_group> groupsFrom(std::string_view text)
{
    std::vector<group::reported_group> groups;
    const json::object message = json_access::objectFromText(text);
    const json::array *list = json_access::arrayAt(message, "groups");
    for (const json::value &value : list != nullptr ? *list : json::array()) {
        if (const json::object *item = value.if_object()) {
            groups.push_back({ group::engine_group_id(json_access::textOr(*item, "group")),
                json_access::numberOr(*item, "reserved_tokens", 0),
                milliseconds(json_access::numberOr(*item, "lease_left_ms", 0)) });
        }
    }
    return groups;
}

} // namespace mustardtrail::entry
