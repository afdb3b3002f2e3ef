#pragma once

#include "config/language.h"
#include "config/message_catalogue.h"
#include "config/preview_report.h"

#include <string>
#include <string_view>
#include <vector>

namespace mustardtrail::config
{

/// Names in the catalogue and in JSON.
std::string_view nameOf(change_subject value);
std::string_view nameOf(change_kind value);

std::string signText(change_sign sign);
message_values valuesOf(const preview_warning &warning);
/// Words of the catalogue for a heading.
std::vector<std::string> heading(std::initializer_list<std::string_view> names, language in);
std::string orDash(const std::string &text);
/// Value with its unit; "-" when there is none.
std::string withUnit(const std::string &value, const std::string &unit, language in);

} // namespace mustardtrail::config
