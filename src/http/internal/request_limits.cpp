#include "http/request_limits.h"

#include <algorithm>

namespace mustardtrail::http
{

std::string_view toString(limit_kind kind)
{
    return kind == limit_kind::header_bytes ? "header_bytes" : "body_bytes";
}

request_limits largerOf(const request_limits &older, const request_limits &newer)
{
    return { std::max(older.headerBytes, newer.headerBytes), std::max(older.bodyBytes, newer.bodyBytes), newer.version };
}

} // namespace mustardtrail::http
