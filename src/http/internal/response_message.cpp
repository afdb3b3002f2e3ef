#include "http/response_message.h"

#include <utility>

namespace mustardtrail::http
{

response_message makeResponse(int status, std::string body, std::string_view mediaType)
{
    response_message message;
    message.status = status;
    message.headers.add("Content-Type", std::string(mediaType));
    message.body = std::move(body);
    return message;
}

} // namespace mustardtrail::http
