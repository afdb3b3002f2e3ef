#include "membership/parse_live_list.h"

#include <boost/json.hpp>

namespace mustardtrail::membership
{

namespace
{

namespace json = boost::json;

error invalid(const char *reason)
{
    return { error_code::peer_message_invalid, verdict::not_run, std::string("list=") + reason, std::nullopt };
}

std::string textOf(const json::object &object, std::string_view key)
{
    const json::value *value = object.if_contains(key);
    return value != nullptr && value->is_string() ? std::string(value->as_string()) : std::string();
}

std::optional<listing_state> stateOf(const std::string &text)
{
    if (text == "live") {
        return listing_state::live;
    }
    if (text == "leaving") {
        return listing_state::leaving;
    }
    return std::nullopt;
}

bool readIncarnation(const json::object &object, std::uint64_t &out)
{
    const json::value *value = object.if_contains("incarnation");
    if (value == nullptr) {
        return true;
    }
    boost::system::error_code failure;
    out = value->to_number<std::uint64_t>(failure);
    return !failure;
}

std::optional<live_list_entry> entryOf(const json::value &value)
{
    const json::object *object = value.if_object();
    if (object == nullptr) {
        return std::nullopt;
    }
    live_list_entry entry;
    entry.id = textOf(*object, "id");
    entry.dataCentre = data_centre_id(textOf(*object, "data_centre"));
    const std::string kind = textOf(*object, "kind");
    entry.kind = kind == "entry" ? listing_kind::instance : listing_kind::backend_server;
    const auto state = stateOf(textOf(*object, "state"));
    const bool known = kind == "entry" || kind == "backend";
    if (entry.id.empty() || entry.dataCentre.empty() || !known || !state || !readIncarnation(*object, entry.incarnation)) {
        return std::nullopt;
    }
    entry.state = *state;
    entry.requests = endpointFromString(textOf(*object, "requests")).value_or(endpoint());
    entry.heartbeats = endpointFromString(textOf(*object, "heartbeats")).value_or(endpoint());
    if (entry.kind == listing_kind::instance && (entry.requests.address.empty() || entry.heartbeats.address.empty())) {
        return std::nullopt;
    }
    return entry;
}

} // namespace

result<std::vector<live_list_entry>> parseLiveList(std::string_view text)
{
    boost::system::error_code failure;
    const json::value root = json::parse(text, failure);
    if (failure || !root.is_object()) {
        return tl::unexpected(invalid("syntax"));
    }
    const json::value *list = root.as_object().if_contains("entries");
    if (list == nullptr || !list->is_array()) {
        return tl::unexpected(invalid("entries"));
    }
    std::vector<live_list_entry> entries;
    for (const json::value &value : list->as_array()) {
        const auto entry = entryOf(value);
        if (!entry) {
            return tl::unexpected(invalid("entry"));
        }
        entries.push_back(*entry);
    }
    return entries;
}

} // namespace mustardtrail::membership
