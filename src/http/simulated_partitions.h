#pragma once

namespace mustardtrail::http
{

/// Whether a client may be cut off from endpoints, for tests of network partitions.
enum class simulated_partitions {
    forbidden,
    allowed,
};

} // namespace mustardtrail::http
