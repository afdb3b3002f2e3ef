#include "http/tests/strict_reader.h"

#include <algorithm>
#include <regex>

namespace mustardtrail::http::testing
{

namespace
{

const std::string token = "[!#$%&'*+.^_`|~0-9A-Za-z-]+";
const std::regex statusLine("HTTP/1\\.[01] ([1-9][0-9][0-9]) ([\\t\\x20-\\x7e\\x80-\\xff]*)");
const std::regex anyStatusLine("HTTP/1\\.[0-9] [0-9][0-9][0-9]");
const std::regex fieldLine(
    "(" + token + "):[ \\t]*((?:[\\x21-\\x7e\\x80-\\xff](?:[\\t\\x20-\\x7e\\x80-\\xff]*[\\x21-\\x7e\\x80-\\xff])?)?)[ \\t]*");
const std::regex chunkLine("([0-9A-Fa-f]{1,8})(?:;" + token + "(?:=(?:" + token + "|\"[^\"\\\\]*\"))?)*");
const std::regex number("[0-9]{1,9}");

/// Takes the bytes before the next CRLF, and the CRLF.
std::optional<std::string> takeLine(std::string_view &rest)
{
    const size_t end = rest.find("\r\n");
    if (end == std::string_view::npos) {
        return std::nullopt;
    }
    std::string line(rest.substr(0, end));
    rest.remove_prefix(end + 2);
    return line;
}

bool takeFields(std::string_view &rest, std::vector<std::pair<std::string, std::string>> &fields)
{
    while (const auto line = takeLine(rest)) {
        std::smatch parts;
        if (line->empty()) {
            return true;
        }
        if (!std::regex_match(*line, parts, fieldLine) || std::regex_search(*line, anyStatusLine)) {
            return false;
        }
        fields.emplace_back(parts[1], parts[2]);
    }
    return false;
}

std::vector<std::string> valuesOf(const strict_answer &answer, const std::string &name)
{
    const std::regex sameName(name, std::regex::icase);
    std::vector<std::string> values;
    for (const auto &[each, value] : answer.fields) {
        if (std::regex_match(each, sameName)) {
            values.push_back(value);
        }
    }
    return values;
}

std::optional<std::string> takeChunks(std::string_view &rest)
{
    std::string body;
    while (const auto line = takeLine(rest)) {
        std::smatch parts;
        if (!std::regex_match(*line, parts, chunkLine)) {
            return std::nullopt;
        }
        const size_t size = std::stoul(parts[1], nullptr, 16);
        std::vector<std::pair<std::string, std::string>> trailers;
        if (size == 0) {
            return takeFields(rest, trailers) ? std::optional(body) : std::nullopt;
        }
        if (rest.substr(std::min(size, rest.size()), 2) != "\r\n") {
            return std::nullopt;
        }
        body += rest.substr(0, size);
        rest.remove_prefix(size + 2);
    }
    return std::nullopt;
}

std::optional<std::string> takeBody(std::string_view rest, const strict_answer &head)
{
    const auto lengths = valuesOf(head, "Content-Length");
    const auto codings = valuesOf(head, "Transfer-Encoding");
    if (lengths.size() + codings.size() > 1) {
        return std::nullopt;
    }
    if (head.status == 204 || head.status == 304) {
        return std::string();
    }
    if (!codings.empty()) {
        return std::regex_match(codings[0], std::regex("chunked", std::regex::icase)) ? takeChunks(rest) : std::nullopt;
    }
    if (lengths.empty()) {
        return std::string(rest);
    }
    if (!std::regex_match(lengths[0], number) || std::stoul(lengths[0]) > rest.size()) {
        return std::nullopt;
    }
    return std::string(rest.substr(0, std::stoul(lengths[0])));
}

} // namespace

std::optional<strict_answer> readStrictly(std::string_view bytes)
{
    while (true) {
        const auto line = takeLine(bytes);
        std::smatch parts;
        if (!line || !std::regex_match(*line, parts, statusLine)) {
            return std::nullopt;
        }
        strict_answer answer;
        answer.status = std::stoi(parts[1]);
        const std::string reason = parts[2];
        if (std::regex_search(reason, anyStatusLine) || !takeFields(bytes, answer.fields) || answer.status == 101) {
            return std::nullopt;
        }
        if (answer.status < 200) {
            continue;
        }
        const auto body = takeBody(bytes, answer);
        if (!body) {
            return std::nullopt;
        }
        answer.body = *body;
        return answer;
    }
}

} // namespace mustardtrail::http::testing
