#pragma once

#include <chrono>
#include <functional>

namespace mustardtrail::proof
{

/// Asks until the condition holds; false when it never did within the limit.
bool eventually(const std::function<bool()> &condition, std::chrono::seconds limit = std::chrono::seconds(20));

} // namespace mustardtrail::proof
