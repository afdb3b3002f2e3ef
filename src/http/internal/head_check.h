#pragma once

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace mustardtrail::http
{

using response_fields = boost::beast::http::response_header<boost::beast::http::fields>;

/// What shows that the head, or the trailer fields that were added to it, stem from two answers.
std::optional<std::string> signOfSecondHead(const response_fields &head);

/// Why the head is not that of one answer whose body can be read.
std::optional<std::string> faultOfHead(const response_fields &head);

/// Whether the bytes, a head or a rest of one that begins with a whole line, and what follows it, hold a line of the head that
/// begins with a blank.
bool hasFoldedLine(std::string_view unparsed);

} // namespace mustardtrail::http
