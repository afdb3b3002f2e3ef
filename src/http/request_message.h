#pragma once

#include "http/header_list.h"

#include <memory>
#include <string>

namespace mustardtrail::http
{

/// One HTTP request. The body is shared, never copied, between the parties that forward it.
struct request_message {
    std::string method = "GET";
    std::string target = "/";
    header_list headers;
    std::string bodyPrefix; ///< Sent before the body; used to splice fields into a JSON object.
    std::shared_ptr<const std::string> body;
    size_t bodySkip = 0; ///< Bytes of the body that are left out at its start.

    /// Path of the target without the query.
    std::string_view path() const;
    /// Value of a query parameter, empty when absent.
    std::string query(std::string_view name) const;
    /// Bytes that the body takes on the wire.
    size_t contentLength() const;
};

} // namespace mustardtrail::http
