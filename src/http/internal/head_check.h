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

/// Whether a line of a head begins with a blank. The bytes begin with a line of the head; some may lie behind it.
bool hasFoldedLine(std::string_view unparsed);

} // namespace mustardtrail::http
