#include "proof/tests/transcript.h"

#include "proof/fleet/expected_answer.h"
#include "proof/tests/transcript_text.h"

#include "testing/golden_file.h"

#include <boost/json/serialize.hpp>

namespace mustardtrail::proof
{

namespace json = boost::json;

namespace
{

constexpr std::chrono::milliseconds callLimit{ 60'000 };

http::request_message callerPost(const std::string &target, const char *customer, const std::string &workClass, std::string body)
{
    http::request_message message;
    message.method = "POST";
    message.target = target;
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Mustardtrail-Customer", customer);
    message.headers.add("Mustardtrail-Class", workClass);
    message.body = std::make_shared<const std::string>(std::move(body));
    return message;
}

} // namespace

transcript::transcript(process_fleet &fleet)
    : m_fleet(fleet)
{
}

pending_call transcript::start(size_t instance, http::request_message request)
{
    const fleet_instance &through = m_fleet.instances[instance];
    const std::string name = std::to_string(++m_calls) + " " + through.id;
    m_text += sentText(name, request);
    return { name, std::async(std::launch::async, callAndWait, through.callers, std::move(request), callLimit) };
}

pending_call transcript::startCompletion(size_t instance, const std::string &workClass, size_t promptBytes, int maxTokens, bool stream)
{
    json::object body;
    body["model"] = "pay";
    body["max_tokens"] = maxTokens;
    body["stream"] = stream;
    body["prompt"] = testPrompt(promptBytes);
    return start(instance, callerPost("/v1/completions", "hotel", workClass, json::serialize(body)));
}

pending_call transcript::startService(size_t instance, const std::string &workClass, const std::string &path, const std::string &key)
{
    http::request_message request = callerPost("/service/orders/" + path, "band", workClass, "{}");
    if (!key.empty()) {
        request.headers.add("Idempotency-Key", key);
    }
    return start(instance, std::move(request));
}

void transcript::finish(pending_call call)
{
    m_text += receivedText(call.name, call.answer.get());
}

void transcript::complete(size_t instance, const std::string &workClass, size_t promptBytes, int maxTokens, bool stream)
{
    finish(startCompletion(instance, workClass, promptBytes, maxTokens, stream));
}

void transcript::service(size_t instance, const std::string &workClass, const std::string &path, const std::string &key)
{
    finish(startService(instance, workClass, path, key));
}

void transcript::event(const std::string &text)
{
    m_text += "fleet: " + text + "\n";
}

void transcript::fact(const std::string &name, const std::string &value)
{
    m_text += "fact: " + name + ": " + value + "\n";
}

void transcript::fact(const std::string &name, std::int64_t value)
{
    fact(name, std::to_string(value));
}

void transcript::expectGolden(const std::string &name) const
{
    testing::expectGolden(std::string(MT_PROOF_TESTS) + "/golden/" + name, m_text);
}

} // namespace mustardtrail::proof
