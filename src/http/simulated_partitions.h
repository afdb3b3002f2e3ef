#pragma once

namespace mustardtrail::http
{

/// Whether a client may simulate network partitions from endpoints, for tests.
enum class simulated_partitions {
    forbidden,
    allowed,
};

} // namespace mustardtrail::http
