#pragma once

#include "http/request_message.h"
#include "http/response_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string_view>

namespace mustardtrail::http
{

/// Bounds of one request. They may change while it arrives; then the larger of each bound holds for it.
struct request_limits {
    size_t headerBytes = 0; ///< Of the request line and the fields, to the empty line behind them.
    size_t bodyBytes = 0; ///< Of the body with its chunk extensions and trailers.
    std::uint64_t version = 0; ///< Of the configuration that names the bounds; 0: none does.
};

enum class limit_kind { header_bytes, body_bytes };

std::string_view toString(limit_kind kind);

/// Returns the larger of each bound, with the version of `newer`.
request_limits largerOf(const request_limits &older, const request_limits &newer);

/// A request that is refused since it is beyond a limit.
struct passed_limit {
    limit_kind kind = limit_kind::header_bytes;
    int status = 0;
    std::uint64_t allowed = 0; ///< In bytes.
    std::uint64_t sent = 0; ///< In bytes: received, or announced by the request.
    std::uint64_t version = 0; ///< Of the configuration that names the limit; 0: none does.
    const request_message &head; ///< What of the request's head could be read.
};

/// Hooks of a server whose limits change while it runs. They are called on the connections' executors.
struct limit_hooks {
    std::function<request_limits()> current; ///< For what begins now. Never above the server's own limits.
    std::function<response_message(const passed_limit &)> refuse; ///< Builds the response to a request beyond a limit.
};

} // namespace mustardtrail::http
