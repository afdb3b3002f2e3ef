#pragma once

#include "api/completion_fields.h"

#include <memory>
#include <string>

namespace mustardtrail::entry
{

/// What is sent on for a request: shared by the caller's connection, the hop and the backend server's connection.
struct payload {
    std::string method = "POST";
    std::string target; ///< Path and query at the backend server.
    std::string contentType;
    std::string idempotencyKey;
    api::completion_kind kind = api::completion_kind::text;
    std::shared_ptr<const std::string> body;
    size_t bodyObjectStart = 0; ///< Offset behind the opening brace of a completion body.
};

} // namespace mustardtrail::entry
