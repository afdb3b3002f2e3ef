#include "programs/entry/engine_request.h"
#include "programs/entry/hop_message.h"

#include "base/json_access.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::entry;

namespace
{

constexpr time_point now{ std::chrono::seconds(10) };
constexpr const char *delivered = "said \"so\" far ";

node::hop_attempt makeContinuation()
{
    node::hop_attempt attempt;
    attempt.work.attempt = attempt_id("a1");
    attempt.work.request = request_id("r1");
    attempt.work.customer = customer_id("c1");
    attempt.work.model = model_id("pay");
    attempt.work.promptTokens = 60'000;
    attempt.work.maxNewTokens = 16;
    attempt.work.arrival = now;
    attempt.work.firstTokenDeadline = attempt.work.deadline = now + std::chrono::seconds(20);
    attempt.origin = instance_id("e1");
    attempt.deliveredTokens = 4;
    attempt.deliveredText = delivered;
    attempt.group = node::group_target{ group::engine_group_id("r1.1.1"), backend_server_id("g1"), "digest" };
    return attempt;
}

payload makePayload()
{
    payload content;
    content.method = "POST";
    content.target = "/v1/completions";
    content.body = std::make_shared<const std::string>(R"({"model":"pay","prompt":"a long one"})");
    content.bodyObjectStart = 1;
    return content;
}

node::open_backend openOf(const node::hop_attempt &attempt)
{
    node::open_backend open;
    open.attempt = attempt.work.attempt;
    open.maxNewTokens = attempt.work.maxNewTokens;
    open.deliveredTokens = attempt.deliveredTokens;
    open.deliveredText = attempt.deliveredText;
    open.group = attempt.group;
    return open;
}

std::string bodyOf(const http::request_message &message)
{
    return message.bodyPrefix + message.body->substr(message.bodySkip);
}

void expectContinuation(const http::request_message &message)
{
    const boost::json::object body = json_access::objectFromText(bodyOf(message));
    testing::expectEqual(json_access::textOr(body, "mt_forced_prefix"), std::string(delivered));
    testing::expectEqual(json_access::textOr(body, "prompt"), std::string());
    testing::expectEqual(json_access::numberOr(body, "max_tokens", 0), std::int64_t(16));
    cr_assert(message.headers.find("Mustardtrail-Group") == "r1.1.1");
}

} // namespace

Test(engine_request, continuationOfAGroupKeepsWhatWasDelivered)
{
    expectContinuation(engineRequest(openOf(makeContinuation()), makePayload()));
}

Test(engine_request, continuationOfAGroupThroughAnotherOwnerKeepsWhatWasDelivered)
{
    http::request_message forwarded = hopRequest({ makeContinuation(), {}, request_id("r1") }, makePayload(), now);
    forwarded.body = std::make_shared<const std::string>(bodyOf(forwarded));
    const auto arrived = hopContents(forwarded, now);
    cr_assert(arrived.has_value());
    expectContinuation(engineRequest(openOf(arrived->attempt), *arrived->content));
}
