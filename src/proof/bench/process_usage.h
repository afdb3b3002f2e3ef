#pragma once

#include <chrono>

namespace mustardtrail::proof
{

/// Resident memory of a process in KiB (VmRSS); 0 when it is gone.
long residentKiB(int processId);

/// Processor time that a process has used in user and system mode.
std::chrono::milliseconds processorTime(int processId);

} // namespace mustardtrail::proof
