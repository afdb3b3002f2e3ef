#include "programs/load/answer_check.h"

#include "api/completion_fields.h"
#include "base/json_access.h"
#include "http/status.h"
#include "standin/engine/answer_text.h"

#include <boost/json/array.hpp>

namespace mustardtrail::load
{

namespace
{

constexpr const char *endMark = "[DONE]";

std::string codeIn(const boost::json::object &message)
{
    const boost::json::object *failure = json_access::objectAt(message, "error");
    return failure != nullptr ? json_access::textOr(*failure, "code", "uncoded") : std::string();
}

request_outcome failedWith(request_outcome outcome, std::string code)
{
    outcome.kind = outcome_kind::failed;
    outcome.code = std::move(code);
    return outcome;
}

} // namespace

std::string promptText(std::uint64_t seed, std::uint64_t number, std::int64_t tokens)
{
    const size_t bytes = static_cast<size_t>(tokens) * api::bytesPerToken;
    std::string prompt = "sheet " + std::to_string(seed) + " " + std::to_string(number) + " ";
    prompt.reserve(bytes + 32);
    while (prompt.size() < bytes) {
        prompt += "row " + std::to_string(prompt.size()) + " ";
    }
    prompt.resize(bytes);
    return prompt;
}

std::string expectedText(const std::string &prompt, int answerTokens)
{
    return standin::answerTokens(standin::extendDigest(standin::emptyDigest, prompt), 0, answerTokens);
}

void takeEvent(gathered_answer &answer, const std::string &data)
{
    if (data == endMark) {
        answer.sawEnd = true;
        return;
    }
    const boost::json::object message = json_access::objectFromText(data);
    if (message.contains("error")) {
        answer.streamError = codeIn(message);
        return;
    }
    const boost::json::array *choices = json_access::arrayAt(message, "choices");
    if (choices != nullptr && !choices->empty() && choices->front().is_object()) {
        answer.text += json_access::textOr(choices->front().get_object(), "text");
    }
}

request_outcome judge(const gathered_answer &answer, const std::string &expected)
{
    request_outcome outcome;
    outcome.status = answer.status;
    outcome.verdict = std::string(answer.headers.find("Mustardtrail-Verdict"));
    if (answer.status == 0) {
        return failedWith(outcome, "no_answer");
    }
    if (answer.status != http::statusOk) {
        outcome.code = codeIn(json_access::objectFromText(answer.errorBody));
        outcome.kind = outcome.verdict == "not_run" && !outcome.code.empty() ? outcome_kind::refused : outcome_kind::failed;
        return outcome;
    }
    if (!answer.streamError.empty()) {
        return failedWith(outcome, answer.streamError);
    }
    if (!answer.isWhole || !answer.sawEnd) {
        return failedWith(outcome, "answer_cut");
    }
    if (!expected.empty() && answer.text != expected) {
        return failedWith(outcome, "answer_wrong");
    }
    outcome.kind = outcome_kind::finished;
    return outcome;
}

} // namespace mustardtrail::load
