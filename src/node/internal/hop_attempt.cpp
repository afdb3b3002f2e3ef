#include "node/hop_attempt.h"

#include "base/json_access.h"

#include <boost/json/array.hpp>

#include <charconv>

namespace mustardtrail::node
{

namespace json = boost::json;
using std::chrono::milliseconds;

namespace
{

constexpr std::int64_t longestLeft = 24LL * 3600 * 1000; // Milliseconds.
constexpr int hexDigits = 16;

std::int64_t leftOf(time_point when, time_point now)
{
    return std::chrono::duration_cast<milliseconds>(when - now).count();
}

std::string hexOf(std::uint64_t number)
{
    char text[hexDigits + 1];
    const auto end = std::to_chars(text, text + hexDigits, number, hexDigits).ptr;
    return std::string(text, end);
}

std::optional<std::uint64_t> numberOfHex(const std::string &text)
{
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), number, hexDigits);
    if (text.empty() || failure != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return number;
}

bool isLeftTime(const json::object &message, std::string_view key)
{
    const std::int64_t left = json_access::numberOr(message, key, longestLeft + 1);
    return left >= -longestLeft && left <= longestLeft;
}

result<group_target> groupFrom(const json::object &message)
{
    group_target target;
    target.group = group::engine_group_id(json_access::textOr(message, "group"));
    target.backend = backend_server_id(json_access::textOr(message, "backend"));
    target.digest = json_access::textOr(message, "digest");
    if (target.group.empty() || target.backend.empty() || target.digest.empty()) {
        return invalidPeerField("group");
    }
    return target;
}

} // namespace

json::object toJson(const hop_attempt &attempt, time_point now)
{
    const placement::work_item &work = attempt.work;
    json::object message{ { "attempt", work.attempt.str() },
        { "request", work.request.str() },
        { "customer", work.customer.str() },
        { "class", work.workClass.str() },
        { "model", work.model.str() },
        { "service", work.service.str() },
        { "prompt_tokens", work.promptTokens },
        { "max_new_tokens", work.maxNewTokens },
        { "prefix", hexOf(work.prefixHash) },
        { "repeatable", work.repeatable },
        { "origin", attempt.origin.str() },
        { "delivered_tokens", attempt.deliveredTokens } };
    message["age_ms"] = -leftOf(work.arrival, now);
    message["first_token_left_ms"] = leftOf(work.firstTokenDeadline, now);
    message["left_ms"] = leftOf(work.deadline, now);
    json::array excluded;
    for (const backend_server_id &backend : attempt.excluded) {
        excluded.emplace_back(backend.str());
    }
    message["excluded"] = std::move(excluded);
    if (attempt.group) {
        message["group"] = json::object{
            { "group", attempt.group->group.str() }, { "backend", attempt.group->backend.str() }, { "digest", attempt.group->digest }
        };
    }
    return message;
}

result<hop_attempt> hopAttemptFromJson(const json::object &message, time_point now)
{
    hop_attempt attempt;
    placement::work_item &work = attempt.work;
    work.attempt = attempt_id(json_access::textOr(message, "attempt"));
    work.request = request_id(json_access::textOr(message, "request"));
    work.customer = customer_id(json_access::textOr(message, "customer"));
    work.workClass = class_id(json_access::textOr(message, "class"));
    work.model = model_id(json_access::textOr(message, "model"));
    work.service = service_id(json_access::textOr(message, "service"));
    work.promptTokens = json_access::numberOr(message, "prompt_tokens", -1);
    work.maxNewTokens = json_access::numberOr(message, "max_new_tokens", -1);
    work.repeatable = json_access::boolOr(message, "repeatable", false);
    attempt.origin = instance_id(json_access::textOr(message, "origin"));
    attempt.deliveredTokens = json_access::numberOr(message, "delivered_tokens", -1);
    if (work.attempt.empty() || work.request.empty() || attempt.origin.empty() || work.model.empty() == work.service.empty()) {
        return invalidPeerField("attempt");
    }
    if (work.promptTokens < 0 || work.maxNewTokens < 0 || attempt.deliveredTokens < 0) {
        return invalidPeerField("tokens");
    }
    const auto prefix = numberOfHex(json_access::textOr(message, "prefix"));
    if (!prefix) {
        return invalidPeerField("prefix");
    }
    work.prefixHash = *prefix;
    if (!isLeftTime(message, "age_ms") || !isLeftTime(message, "first_token_left_ms") || !isLeftTime(message, "left_ms")) {
        return invalidPeerField("left_ms");
    }
    work.arrival = now - milliseconds(json_access::numberOr(message, "age_ms", 0));
    work.firstTokenDeadline = now + milliseconds(json_access::numberOr(message, "first_token_left_ms", 0));
    work.deadline = now + milliseconds(json_access::numberOr(message, "left_ms", 0));
    if (const json::array *excluded = json_access::arrayAt(message, "excluded")) {
        for (const json::value &backend : *excluded) {
            if (!backend.is_string()) {
                return invalidPeerField("excluded");
            }
            attempt.excluded.emplace_back(std::string(backend.get_string()));
        }
    }
    if (const json::object *group = json_access::objectAt(message, "group")) {
        const auto target = groupFrom(*group);
        if (!target) {
            return tl::unexpected(target.error());
        }
        attempt.group = *target;
    }
    return attempt;
}

} // namespace mustardtrail::node
