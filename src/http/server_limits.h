#pragma once

#include <chrono>
#include <cstddef>

namespace mustardtrail::http
{

/// What a server accepts from its peers.
struct server_limits {
    size_t headerBytes = 16 * 1024;
    size_t bodyBytes = 16 * 1024 * 1024;
    size_t totalBodyBytes = 512 * 1024 * 1024; ///< All bodies held at once.
    std::chrono::milliseconds idle{ 60'000 }; ///< Between requests of one connection.
    std::chrono::milliseconds progress{ 10'000 }; ///< Longest gap while a request is read or an answer written.
    std::chrono::milliseconds wholeRequest{ 60'000 }; ///< From the first byte of a request to its last.
};

} // namespace mustardtrail::http
