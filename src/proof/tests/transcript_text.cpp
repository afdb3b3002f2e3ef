#include "proof/tests/transcript_text.h"

#include "api/event_parser.h"
#include "base/hash.h"
#include "base/json_access.h"

#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>
#include <array>
#include <cstdio>
#include <sstream>

namespace mustardtrail::proof
{

namespace json = boost::json;

namespace
{

constexpr const char *indent = "   ";

std::string line(const std::string &text)
{
    return indent + text + "\n";
}

std::string hashText(const std::string &body)
{
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(hash64(body)));
    return text.data();
}

bool isShown(const std::string &header)
{
    constexpr std::array<std::string_view, 5> names{ "Content-Type", "Idempotency-Key", "Retry-After", "Retry-After-Ms", "X-Should-Retry" };
    return header.starts_with("Mustardtrail-") || std::ranges::find(names, header) != names.end();
}

bool isPositiveNumber(const std::string &text)
{
    return !text.empty() && text != "0" && std::ranges::all_of(text, [](char character) {
        return character >= '0' && character <= '9';
    });
}

std::string headerValue(const std::string &name, const std::string &value)
{
    if (name.starts_with("Retry-After") && isPositiveNumber(value)) {
        return "TIME";
    }
    if (name == "Mustardtrail-Request") {
        return value.substr(0, value.find('-')) + "-ID";
    }
    return value;
}

std::string headersText(const http::header_list &headers)
{
    std::string text;
    for (const auto &[name, value] : headers.fields()) {
        if (isShown(name)) {
            text += line(name + ": " + headerValue(name, value));
        }
    }
    return text;
}

/// The message with its target and reason; other details name servers and attempts, which differ between runs.
std::string messageText(const std::string &message)
{
    std::istringstream words(message);
    std::string text;
    for (std::string word; words >> word;) {
        const std::string bare = word.substr(word.starts_with('(') ? 1 : 0);
        const bool isDetail = bare.find('=') != std::string::npos;
        if (!isDetail || bare.starts_with("target=") || bare.starts_with("reason=")) {
            text += (text.empty() ? "" : " ") + bare.substr(0, bare.find(')'));
        }
    }
    return text;
}

/// Renders the fields of JSON bodies and the events of one answer.
class body_writer
{
public:
    explicit body_writer(const caller_answer &answer)
        : m_answer(answer)
        , m_request(answer.headers.find("Mustardtrail-Request"))
    {
    }

    std::string write()
    {
        if (m_answer.body.starts_with("data: ")) {
            writeEvents();
        } else if (!m_answer.body.empty()) {
            writeFields("", json::parse(m_answer.body));
        }
        return m_text;
    }

private:
    std::string fieldValue(const std::string &path, const json::value &value) const
    {
        const std::string name = path.substr(path.rfind('.') + 1);
        if (name == "id" && value.is_string() && std::string_view(value.get_string()).find(m_request) != std::string_view::npos) {
            return "of this request";
        }
        if (name == "created" || name == "retry_after_ms") {
            return "TIME";
        }
        if (name == "message" && value.is_string()) {
            return "\"" + messageText(std::string(value.get_string())) + "\"";
        }
        return json::serialize(value);
    }

    void writeFields(const std::string &path, const json::value &value)
    {
        if (const json::object *object = value.if_object()) {
            for (const auto &member : *object) {
                writeFields(path + (path.empty() ? "" : ".") + std::string(member.key()), member.value());
            }
        } else if (const json::array *array = value.if_array()) {
            for (size_t index = 0; index < array->size(); ++index) {
                writeFields(path + "[" + std::to_string(index) + "]", array->at(index));
            }
        } else {
            m_text += line(path + " = " + fieldValue(path, value));
        }
    }

    void writeEvents()
    {
        api::event_parser parser;
        parser.push(m_answer.body);
        while (const auto data = parser.next()) {
            writeEvent(*data);
        }
        writeTokens();
    }

    void writeEvent(const std::string &data)
    {
        const json::object event = json_access::objectFromText(data);
        const json::array *choices = json_access::arrayAt(event, "choices");
        if (choices == nullptr || choices->empty()) {
            writeTokens();
            writeWholeEvent(data, event);
            return;
        }
        const json::object &choice = choices->front().as_object();
        m_strangerSeen = m_strangerSeen || json_access::textOr(event, "id").find(m_request) == std::string::npos;
        m_tokens += json_access::textOr(choice, "text");
        if (const std::string reason = json_access::textOr(choice, "finish_reason"); !reason.empty()) {
            writeTokens();
            m_text += line("event finish_reason " + reason + (m_strangerSeen ? ", ids of other requests" : ", all ids of this request"));
        }
    }

    void writeWholeEvent(const std::string &data, const json::object &event)
    {
        if (event.empty()) {
            m_text += line("event " + data);
            return;
        }
        m_text += line("event");
        writeFields("  ", event);
    }

    // How many tokens an event holds depends on time; the tokens and their order do not.
    void writeTokens()
    {
        for (size_t start = 0; start < m_tokens.size();) {
            const size_t end = std::min(m_tokens.find(' ', start), m_tokens.size() - 1) + 1;
            m_text += line("event token \"" + m_tokens.substr(start, end - start) + "\"");
            start = end;
        }
        m_tokens.clear();
    }

    const caller_answer &m_answer;
    std::string m_request;
    std::string m_tokens;
    std::string m_text;
    bool m_strangerSeen = false;
};

} // namespace

std::string sentText(const std::string &call, const http::request_message &request)
{
    std::string text = "call " + call + " > " + request.method + " " + request.target + "\n" + headersText(request.headers);
    return text + line("body of " + std::to_string(request.body->size()) + " bytes, hash " + hashText(*request.body));
}

std::string receivedText(const std::string &call, const caller_answer &answer)
{
    if (answer.status == 0) {
        return "call " + call + " < no answer\n";
    }
    const std::string head = "call " + call + " < " + std::to_string(answer.status) + "\n";
    return head + headersText(answer.headers) + body_writer(answer).write() + line(answer.isWhole ? "whole" : "cut");
}

} // namespace mustardtrail::proof
