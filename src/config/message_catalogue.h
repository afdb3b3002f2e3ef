#pragma once

#include "base/error_code.h"
#include "config/language.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mustardtrail::config
{

/// Values for the names in braces of a message, such as "key" for "{key}".
using message_values = std::map<std::string, std::string, std::less<>>;

/// Message with its values filled in; a value that is not given shows as "-".
std::string messageText(error_code code, language in, const message_values &values);
/// Short name of the message, without values.
std::string_view messageTitle(error_code code, language in);
/// What the reader is to do.
std::string_view messageAction(error_code code, language in);
/// All codes of the catalogue, in order.
std::vector<error_code> catalogueCodes();
bool isInCatalogue(error_code code);

/// Word of the tables, such as "before".
std::string_view word(std::string_view name, language in);

} // namespace mustardtrail::config
