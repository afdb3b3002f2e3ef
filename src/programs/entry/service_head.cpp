#include "programs/entry/service_head.h"

#include "http/status.h"

#include <charconv>

namespace mustardtrail::entry
{

namespace
{
}

std::string serviceHeadText(int status, const http::header_list &headers)
{
    return std::to_string(status) + " " + std::string(headers.find("Content-Type"));
}

http::response_message serviceHeadFrom(std::string_view text)
{
    http::response_message message;
    message.status = http::statusBadGateway;
    const auto [end, failure] = std::from_chars(text.data(), text.data() + text.size(), message.status);
    if (failure == std::errc{} && end != text.data() + text.size()) {
        message.headers.add("Content-Type", std::string(end + 1, text.data() + text.size()));
    }
    return message;
}

} // namespace mustardtrail::entry
