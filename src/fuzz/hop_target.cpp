#include "base/json_access.h"
#include "fuzz/fuzz_target.h"
#include "programs/entry/hop_message.h"

#include <boost/json/serialize.hpp>

namespace mustardtrail::fuzz
{

namespace
{

constexpr time_point now{ std::chrono::hours(100) };

/// Header lines "Name: value", an empty line, the body.
http::request_message messageFrom(std::string_view bytes)
{
    http::request_message message;
    message.method = "POST";
    message.target = std::string(entry::hopPath);
    while (!bytes.empty() && !bytes.starts_with('\n')) {
        const std::string_view line = bytes.substr(0, bytes.find('\n'));
        bytes.remove_prefix(std::min(bytes.size(), line.size() + 1));
        const size_t colon = line.find(": ");
        if (colon != std::string_view::npos) {
            message.headers.add(std::string(line.substr(0, colon)), std::string(line.substr(colon + 2)));
        }
    }
    bytes.remove_prefix(std::min<size_t>(bytes.size(), 1));
    message.body = std::make_shared<const std::string>(bytes);
    return message;
}

std::string textOf(const node::hop_attempt &attempt)
{
    return boost::json::serialize(toJson(attempt, now));
}

void checkSentOn(const entry::hop_contents &contents)
{
    node::forward_attempt action;
    action.attempt = contents.attempt;
    const auto again = entry::hopContents(entry::hopRequest(action, *contents.content, now), now);
    require(again.has_value());
    require(textOf(again->attempt) == textOf(contents.attempt));
    require(again->content->method == contents.content->method && again->content->target == contents.content->target);
    require(again->attempt.deliveredText == contents.attempt.deliveredText);
    // The owner of a group has the prompt in its engines: no body goes to it.
    if (!contents.attempt.group) {
        require(again->content->bodyObjectStart == contents.content->bodyObjectStart);
        require(*again->content->body == *contents.content->body);
    }
}

// As the owner does when the caller has a part of the answer.
void checkSpliced(const entry::hop_contents &contents)
{
    http::request_message message;
    message.body = contents.content->body;
    entry::spliceDelivered(message, "text", contents.content->bodyObjectStart);
    require(message.bodySkip <= message.body->size());
    require(message.contentLength() == message.bodyPrefix.size() + message.body->size() - message.bodySkip);
}

} // namespace

std::vector<error_code> readAnyBytes(std::string_view bytes)
{
    const auto contents = entry::hopContents(messageFrom(bytes), now);
    if (!contents) {
        require(contents.error().outcome == verdict::not_run && contents.error().detail.starts_with("field="));
        return { contents.error().code };
    }
    checkSentOn(*contents);
    checkSpliced(*contents);
    return {};
}

} // namespace mustardtrail::fuzz
