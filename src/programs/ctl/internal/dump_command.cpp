#include "programs/ctl/internal/subcommands.h"

#include "base/json_access.h"
#include "config/message_catalogue.h"
#include "config/text_table.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include <array>

namespace mustardtrail::ctl
{

namespace json = boost::json;

namespace
{

constexpr std::array<const char *, 5> peerStates{ "alive", "suspect", "leaving", "dead", "?" };

std::string wordText(std::string_view name, config::language language)
{
    return std::string(config::word(name, language));
}

std::string scalarText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

/// Numbers, texts and flags that stand at the top of the dump.
std::string headTable(const json::object &dump, config::language language)
{
    config::text_table table({ wordText("dump_state", language), wordText("dump_value", language) });
    for (const auto &member : dump) {
        if (!member.value().is_object() && !member.value().is_array()) {
            table.add({ std::string(member.key()), scalarText(member.value()) });
        }
    }
    return table.str();
}

std::string peerTable(const json::array &peers, config::language language)
{
    config::text_table table(
        { wordText("dump_instance", language), wordText("dump_data_centre", language), wordText("dump_state", language) });
    for (const json::value &value : peers) {
        const json::object *peer = value.if_object();
        if (peer == nullptr) {
            continue;
        }
        const auto state = static_cast<size_t>(json_access::numberOr(*peer, "state", peerStates.size() - 1));
        table.add({ json_access::textOr(*peer, "id"),
            json_access::textOr(*peer, "data_centre"),
            peerStates[std::min(state, peerStates.size() - 1)] });
    }
    return table.str();
}

std::string backendTable(const json::array &backends, config::language language)
{
    config::text_table table({ wordText("dump_backend", language), wordText("dump_owner", language), wordText("dump_new_work", language) });
    for (const json::value &value : backends) {
        if (const json::object *backend = value.if_object()) {
            table.add({ json_access::textOr(*backend, "id"),
                json_access::textOr(*backend, "owner"),
                json_access::boolOr(*backend, "accepts", false) ? "+" : "-" });
        }
    }
    return table.str();
}

} // namespace

exit_code runDump(const std::vector<std::string> &arguments, const command_context &context)
{
    const auto body = context.readDump ? context.readDump(arguments.front()) : std::nullopt;
    const json::object dump = json_access::objectFromText(body.value_or(""));
    if (dump.empty()) {
        context.err << "! " << arguments.front() << '\n';
        return exit_code::unreadable;
    }
    if (context.json) {
        context.out << *body << '\n';
        return exit_code::ok;
    }
    context.out << headTable(dump, context.language);
    const json::object *view = json_access::objectAt(dump, "view");
    const json::array *peers = view != nullptr ? json_access::arrayAt(*view, "peers") : nullptr;
    const json::array *backends = view != nullptr ? json_access::arrayAt(*view, "backends") : nullptr;
    if (peers != nullptr) {
        context.out << '\n' << peerTable(*peers, context.language);
    }
    if (backends != nullptr) {
        context.out << '\n' << backendTable(*backends, context.language);
    }
    return exit_code::ok;
}

} // namespace mustardtrail::ctl
