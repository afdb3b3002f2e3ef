#include "http/internal/head_check.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <string_view>

namespace mustardtrail::http
{

namespace beast = boost::beast;

namespace
{

bool isDigit(char character)
{
    return character >= '0' && character <= '9';
}

bool containsStatusLine(std::string_view text)
{
    constexpr std::string_view version = "HTTP/1.";
    constexpr size_t minorAndStatus = 5; // As in "1 200".
    for (size_t at = text.find(version); at != std::string_view::npos; at = text.find(version, at + 1)) {
        const std::string_view rest = text.substr(at + version.size(), minorAndStatus);
        if (rest.size() == minorAndStatus && isDigit(rest[0]) && rest[1] == ' ' && std::ranges::all_of(rest.substr(2), isDigit)) {
            return true;
        }
    }
    return false;
}

std::string inField(std::string_view what, beast::string_view name)
{
    return std::string(what) + " in field \"" + std::string(name.data(), name.size()) + "\"";
}

} // namespace

// A head that a server began and did not finish is read as one with the head after it, whose status line ends up in a value.
std::optional<std::string> signOfSecondHead(const response_fields &head)
{
    if (containsStatusLine({ head.reason().data(), head.reason().size() })) {
        return "two heads in one: a status line in the reason";
    }
    for (const auto &field : head) {
        if (containsStatusLine({ field.value().data(), field.value().size() })) {
            return inField("two heads in one: a status line", field.name_string());
        }
    }
    return std::nullopt;
}

std::optional<std::string> faultOfHead(const response_fields &head)
{
    // Other codings were not asked for, and the field is not passed on with the body.
    for (const auto &field : head) {
        if (field.name() == beast::http::field::transfer_encoding && !beast::iequals(field.value(), "chunked")) {
            return "transfer coding \"" + std::string(field.value().data(), field.value().size()) + "\" is not known";
        }
    }
    return signOfSecondHead(head);
}

// The parser appends such a line to the field before it, which changes that field and hides the one that the line may hold. RFC 9112,
// 5.2 lets a gateway reject such a response.
bool hasFoldedLine(std::string_view unparsed)
{
    constexpr std::string_view lineEnd = "\r\n";
    size_t lineBegin = 0;
    while (lineBegin < unparsed.size() && !unparsed.substr(lineBegin).starts_with(lineEnd)) {
        if (unparsed[lineBegin] == ' ' || unparsed[lineBegin] == '\t') {
            return true;
        }
        const size_t end = unparsed.find(lineEnd, lineBegin);
        lineBegin = end == std::string_view::npos ? unparsed.size() : end + lineEnd.size();
    }
    return false;
}

} // namespace mustardtrail::http
