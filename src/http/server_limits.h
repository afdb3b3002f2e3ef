#pragma once

#include <chrono>
#include <cstddef>

namespace mustardtrail::http
{

/// Size limits and time-outs of a server.
struct server_limits {
    size_t headerBytes = 16 * 1024;
    size_t bodyBytes = 16 * 1024 * 1024;
    size_t totalBodyBytes = 512 * 1024 * 1024; ///< All request bodies in memory at once.
    std::chrono::milliseconds idle{ 60'000 }; ///< Between requests of one connection.
    std::chrono::milliseconds progress{ 10'000 }; ///< Longest time without progress while reading a request or writing a response.
    std::chrono::milliseconds wholeWrite{ 60'000 }; ///< From the first byte of a response, or of a piece of a stream, to its last.
    std::chrono::milliseconds wholeRequest{ 60'000 }; ///< From the first byte of a request to its last.
};

} // namespace mustardtrail::http
