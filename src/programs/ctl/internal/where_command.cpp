#include "programs/ctl/internal/subcommands.h"

#include "base/json_access.h"
#include "config/message_catalogue.h"
#include "config/text_table.h"
#include "http/status.h"

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>
#include <boost/url/url.hpp>

#include <array>

namespace mustardtrail::ctl
{

namespace json = boost::json;

namespace
{

std::string wordText(std::string_view name, config::language language)
{
    return std::string(config::word(name, language));
}

std::string optionOr(const command_context &context, const std::string &name)
{
    const auto found = context.options.find(name);
    return found == context.options.end() ? std::string() : found->second;
}

/// Target of the question; nothing when the options are not understood.
std::optional<std::string> targetFor(const command_context &context)
{
    const std::string route = optionOr(context, "route");
    const std::string tokens = optionOr(context, "tokens");
    const std::string customer = optionOr(context, "customer");
    const size_t slash = route.find('/');
    const size_t comma = tokens.find(',');
    const bool hasTokens = comma != std::string::npos && comma > 0 && comma + 1 < tokens.size();
    if (slash == std::string::npos || slash == 0 || !hasTokens) {
        return std::nullopt;
    }
    boost::urls::url target;
    target.set_path("/placement");
    target.params().append({ "host", route.substr(0, slash) });
    target.params().append({ "path", route.substr(slash) });
    target.params().append({ "prompt", tokens.substr(0, comma) });
    target.params().append({ "answer", tokens.substr(comma + 1) });
    if (!customer.empty()) {
        target.params().append({ "customer", customer });
    }
    return std::string(target.buffer());
}

std::string scalarText(const json::value &value)
{
    return value.is_string() ? std::string(value.get_string()) : json::serialize(value);
}

std::string memberText(const json::object &object, std::string_view name)
{
    const json::value *value = object.if_contains(json::string_view(name.data(), name.size()));
    return value == nullptr || value->is_null() ? "-" : scalarText(*value);
}

std::string namesOf(const json::object &answer, std::string_view name)
{
    std::string names;
    const json::array *list = json_access::arrayAt(answer, name);
    for (const json::value &each : list != nullptr ? *list : json::array()) {
        names += (names.empty() ? "" : " ") + scalarText(each);
    }
    return names.empty() ? "-" : names;
}

std::string verdictTable(const json::object &answer, config::language language)
{
    struct row {
        const char *word;
        const char *member;
    };
    constexpr std::array<row, 10> rows{ { { "where_reason", "reason" },
        { "where_first_event", "first_event_ms" },
        { "where_on_time", "on_time" },
        { "where_capacity", "capacity_in_ms" },
        { "where_retry", "retry_after_ms" },
        { "where_route", "route" },
        { "where_service", "service" },
        { "where_customer", "customer" },
        { "where_urgency", "urgency" },
        { "where_queued", "queued_here" } } };
    config::text_table table({ wordText("where_verdict", language), memberText(answer, "verdict") });
    table.add({ wordText("where_servers", language), namesOf(answer, "servers") });
    for (const row &each : rows) {
        const std::string text = memberText(answer, each.member);
        if (answer.contains(each.member) && !text.empty()) {
            table.add({ wordText(each.word, language), text });
        }
    }
    return table.str();
}

std::string candidateTable(const json::array &candidates, config::language language)
{
    config::text_table table({ wordText("where_server", language),
        wordText("where_chosen", language),
        wordText("where_reason", language),
        wordText("where_first_event", language),
        wordText("where_pending", language),
        wordText("where_requests", language),
        wordText("where_memory", language),
        wordText("where_slowness", language),
        wordText("where_known_ago", language) });
    for (const json::value &value : candidates) {
        if (const json::object *each = value.if_object()) {
            const std::string reason = json_access::textOr(*each, "reason");
            table.add({ memberText(*each, "server"),
                json_access::boolOr(*each, "chosen", false) ? "+" : "",
                reason.empty() ? "-" : reason,
                memberText(*each, "first_event_ms"),
                memberText(*each, "pending_prefill_ms"),
                memberText(*each, "requests") + "/" + memberText(*each, "slots"),
                memberText(*each, "memory_tokens") + "/" + memberText(*each, "memory_limit_tokens"),
                memberText(*each, "slowness_percent"),
                memberText(*each, "known_ago_ms") });
        }
    }
    return table.str();
}

std::string aheadTable(const json::array &ahead, config::language language)
{
    config::text_table table({ wordText("where_ahead", language),
        wordText("where_urgency", language),
        wordText("where_age", language),
        wordText("where_due_in", language) });
    for (const json::value &value : ahead) {
        if (const json::object *each = value.if_object()) {
            table.add({ memberText(*each, "prompt_tokens"),
                memberText(*each, "urgency"),
                memberText(*each, "age_ms"),
                memberText(*each, "due_in_ms") });
        }
    }
    return table.str();
}

/// Writes why there is no answer.
exit_code refuse(const std::string &address, const std::optional<fetched_answer> &fetched, const command_context &context)
{
    const json::object body = json_access::objectFromText(fetched ? fetched->body : "");
    const std::string reason = json_access::textOr(body, "error");
    context.err << "! " << address << (reason.empty() ? "" : ": " + reason) << '\n';
    const bool isRefused = fetched && (fetched->status == http::statusBadRequest || fetched->status == http::statusNotFound);
    return isRefused && !reason.empty() ? exit_code::usage : exit_code::unreadable;
}

} // namespace

exit_code runWhere(const std::vector<std::string> &arguments, const command_context &context)
{
    const std::optional<std::string> target = targetFor(context);
    if (!target) {
        context.err << wordText("exit_usage", context.language) << ": --route HOST/PATH --tokens PROMPT,ANSWER\n";
        return exit_code::usage;
    }
    const auto fetched = context.fetch ? context.fetch(arguments.front(), *target) : std::nullopt;
    const json::object answer = json_access::objectFromText(fetched ? fetched->body : "");
    if (!fetched || fetched->status != http::statusOk || !answer.contains("verdict")) {
        return refuse(arguments.front(), fetched, context);
    }
    const exit_code outcome = json_access::textOr(answer, "verdict") == "refuse" ? exit_code::problems : exit_code::ok;
    if (context.json) {
        context.out << fetched->body;
        return outcome;
    }
    context.out << verdictTable(answer, context.language);
    const json::array *candidates = json_access::arrayAt(answer, "candidates");
    const json::array *ahead = json_access::arrayAt(answer, "ahead");
    if (candidates != nullptr && !candidates->empty()) {
        context.out << '\n' << candidateTable(*candidates, context.language);
    }
    if (ahead != nullptr && !ahead->empty()) {
        context.out << '\n' << aheadTable(*ahead, context.language);
    }
    return outcome;
}

} // namespace mustardtrail::ctl
