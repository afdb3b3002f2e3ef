#include "proof/fleet/eventually.h"

#include <thread>

namespace mustardtrail::proof
{

namespace
{
constexpr std::chrono::milliseconds pause{ 20 };
}

bool eventually(const std::function<bool()> &condition, std::chrono::seconds limit)
{
    const auto end = std::chrono::steady_clock::now() + limit;
    while (std::chrono::steady_clock::now() < end) {
        if (condition()) {
            return true;
        }
        std::this_thread::sleep_for(pause);
    }
    return condition();
}

} // namespace mustardtrail::proof
