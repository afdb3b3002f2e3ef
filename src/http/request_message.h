#pragma once

#include "http/header_list.h"

#include <memory>
#include <string>

namespace mustardtrail::http
{

/// One HTTP request. The body is shared, not copied, when the request is forwarded.
struct request_message {
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string bodyPrefix; ///< Sent before the body; used to splice fields into a JSON object.
    std::shared_ptr<const std::string> body;
    size_t bodySkip = 0; ///< Bytes to skip at the start of the body.

    /// Path of the target without the query.
    std::string_view path() const;
    /// Value of a query parameter, empty when absent.
    std::string query(std::string_view name) const;
    /// Body size on the wire, including the prefix and without the skipped bytes.
    size_t contentLength() const;
};

} // namespace mustardtrail::http
