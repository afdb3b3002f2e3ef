#pragma once

#include "http/header_list.h"

#include <string>
#include <string_view>

namespace mustardtrail::http
{

/// One whole HTTP response.
struct response_message {
    int status = 200;
    header_list headers;
    std::string body;
};

/// Answer with a whole body of the given media type.
response_message makeResponse(int status, std::string body, std::string_view mediaType);

} // namespace mustardtrail::http
