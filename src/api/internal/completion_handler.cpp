#include "api/internal/completion_handler.h"

#include <algorithm>

namespace mustardtrail::api
{

namespace
{

constexpr size_t longestShortText = 1024; // Bytes kept of a text that is not the prompt.
constexpr const char *arrayMark = "[]";

std::string_view plain(boost::json::string_view text)
{
    return { text.data(), text.size() };
}

} // namespace

bool completion_handler::fail(error_code &failure, std::string_view field)
{
    badField = field;
    failure = boost::json::error::syntax;
    return false;
}

bool completion_handler::on_array_begin(error_code &)
{
    m_path.push_back(m_key);
    m_path.emplace_back(arrayMark);
    m_key.clear();
    return true;
}

bool completion_handler::on_array_end(std::size_t, error_code &)
{
    m_path.pop_back();
    m_key = m_path.back();
    m_path.pop_back();
    return true;
}

bool completion_handler::on_object_begin(error_code &)
{
    m_path.push_back(m_key);
    m_key.clear();
    return true;
}

bool completion_handler::on_object_end(std::size_t, error_code &)
{
    m_key = m_path.back();
    m_path.pop_back();
    return true;
}

// Paths: "" is the body object. Prompt: ["", ] key prompt, or inside its array. Chat: messages[].content as text,
// or messages[].content[].text.
bool completion_handler::isPromptText() const
{
    if (fields.kind == completion_kind::text) {
        const bool single = m_path.size() == 1 && m_key == "prompt";
        const bool inArray = m_path.size() == 3 && m_path[1] == "prompt" && m_path[2] == arrayMark;
        return single || inArray;
    }
    const bool inMessages = m_path.size() >= 4 && m_path[1] == "messages" && m_path[2] == arrayMark;
    const bool single = inMessages && m_path.size() == 4 && m_key == "content";
    const bool part = inMessages && m_path.size() == 7 && m_path[4] == "content" && m_key == "text";
    return single || part;
}

void completion_handler::takePromptText(string_view text)
{
    promptBytes += text.size();
    if (leadingBlock.size() < leadingBlockBytes) {
        leadingBlock.append(text.data(), std::min(text.size(), leadingBlockBytes - leadingBlock.size()));
    }
    if (takePrompt) {
        takePrompt(plain(text));
    }
}

bool completion_handler::on_string_part(string_view text, std::size_t, error_code &)
{
    if (isPromptText()) {
        takePromptText(text);
    } else if (m_text.size() < longestShortText) {
        m_text.append(text.data(), std::min(text.size(), longestShortText));
    }
    return true;
}

bool completion_handler::on_string(string_view text, std::size_t total, error_code &failure)
{
    if (isPromptText()) {
        takePromptText(text);
        sawPrompt = true;
        ++m_promptStrings;
        const bool oneOnly = fields.kind == completion_kind::chat || m_promptStrings == 1;
        return oneOnly || fail(failure, "prompt");
    }
    on_string_part(text, total, failure);
    const std::string whole = std::exchange(m_text, {});
    if (m_path.size() == 1 && m_key == "model") {
        fields.model = whole;
    }
    return true;
}

bool completion_handler::on_key_part(string_view text, std::size_t, error_code &)
{
    m_text.append(text.data(), text.size());
    return true;
}

bool completion_handler::on_key(string_view text, std::size_t, error_code &failure)
{
    m_key = std::exchange(m_text, {});
    m_key.append(text.data(), text.size());
    if (m_path.size() != 1) {
        return true;
    }
    if (std::find(m_seen.begin(), m_seen.end(), m_key) != m_seen.end()) {
        return fail(failure, m_key);
    }
    m_seen.push_back(m_key);
    return true;
}

bool completion_handler::on_int64(std::int64_t number, string_view, error_code &failure)
{
    if (isPromptText()) {
        ++promptTokenIds;
        sawPrompt = true;
        return m_path.size() == 3 || fail(failure, "prompt");
    }
    if (m_path.size() != 1) {
        return true;
    }
    if (m_key == "max_tokens" || m_key == "max_completion_tokens") {
        fields.maxNewTokens = number;
        return (number >= 1 && number <= largestMaxNewTokens) || fail(failure, m_key);
    }
    if (m_key == "n" || m_key == "best_of") {
        return number == 1 || fail(failure, m_key);
    }
    return true;
}

bool completion_handler::on_uint64(std::uint64_t, string_view, error_code &failure)
{
    static constexpr std::string_view counts[] = { "max_tokens", "max_completion_tokens", "n", "best_of" };
    const bool counted = m_path.size() == 1 && std::find(std::begin(counts), std::end(counts), m_key) != std::end(counts);
    return !counted || fail(failure, m_key);
}

bool completion_handler::on_double(double, string_view text, error_code &failure)
{
    return on_uint64(0, text, failure);
}

bool completion_handler::on_bool(bool value, error_code &)
{
    if (m_path.size() == 1 && m_key == "stream") {
        fields.stream = value;
    }
    if (m_path.size() == 2 && m_path[1] == "stream_options" && m_key == "include_usage") {
        fields.includeUsage = value;
    }
    return true;
}

} // namespace mustardtrail::api
