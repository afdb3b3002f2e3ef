#pragma once

#include "http/header_list.h"
#include "http/response_message.h"

#include <string>
#include <string_view>

namespace mustardtrail::entry
{

/// Status and content type of a plain service's answer, as the first piece of the attempt's output.
std::string serviceHeadText(int status, const http::header_list &headers);

/// Reads it back; status 502 when it is not one.
http::response_message serviceHeadFrom(std::string_view text);

} // namespace mustardtrail::entry
