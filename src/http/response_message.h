#pragma once

#include "http/header_list.h"

#include <string>

namespace mustardtrail::http
{

/// One whole HTTP response.
struct response_message {
    int status = 200;
    header_list headers;
    std::string body;
};

} // namespace mustardtrail::http
