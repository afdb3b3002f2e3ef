#pragma once

namespace mustardtrail::http
{

/// Whether a client may be cut off from endpoints, for tests of network partitions.
enum class cuts {
    forbidden,
    allowed,
};

} // namespace mustardtrail::http
