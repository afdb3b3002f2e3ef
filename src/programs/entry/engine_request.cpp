#include "programs/entry/engine_request.h"

#include "programs/entry/hop_message.h"

#include <charconv>

namespace mustardtrail::entry
{

namespace
{

std::string hexOf(std::uint64_t number)
{
    char text[17];
    const auto end = std::to_chars(text, text + 16, number, 16).ptr;
    return std::string(text, end);
}

// The engines of the group hold the prompt already.
void useGroup(http::request_message &message, const node::group_target &group, const node::open_backend &action)
{
    message.target = "/v1/completions";
    message.headers.add("Mustardtrail-Group", group.group.str());
    message.headers.add("Mustardtrail-Digest", group.digest);
    message.body
        = std::make_shared<const std::string>(R"({"model":"-","prompt":"","max_tokens":)" + std::to_string(action.maxNewTokens) + "}");
    if (!action.deliveredText.empty()) {
        spliceDelivered(message, action.deliveredText, 1);
    }
}

} // namespace

http::request_message engineRequest(const node::open_backend &action, const payload &content)
{
    http::request_message message;
    message.method = content.method;
    message.target = content.target;
    message.body = content.body;
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Mustardtrail-Attempt", action.attempt.str());
    message.headers.add("Mustardtrail-Priority", std::to_string(action.priority));
    message.headers.add("Mustardtrail-Fencing", std::to_string(action.fencingNumber));
    message.headers.add("Mustardtrail-Stream", "1");
    message.headers.add("Mustardtrail-Prefix", hexOf(action.prefixHash));
    if (action.deliveredTokens > 0) {
        message.headers.add("Mustardtrail-Delivered", std::to_string(action.deliveredTokens));
    }
    if (action.group) {
        useGroup(message, *action.group, action);
    } else if (!action.deliveredText.empty() && content.bodyObjectStart > 0) {
        spliceDelivered(message, action.deliveredText, content.bodyObjectStart);
    }
    return message;
}

} // namespace mustardtrail::entry
