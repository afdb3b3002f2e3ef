#include "base/rcu_cell.h"

#include "testing/expect.h"

#include <thread>
#include <vector>

using namespace mustardtrail;

namespace
{

struct pair_value {
    int first;
    int second;
};

} // namespace

Test(rcu_cell, readersNeverSeeATornValue)
{
    constexpr int swaps = 500;
    rcu_cell<pair_value> cell(std::make_shared<pair_value>(pair_value{ 0, 0 }));
    std::atomic<bool> done{ false };
    std::atomic<int> torn{ 0 };
    std::vector<std::thread> readers;
    for (int reader = 0; reader < 3; ++reader) {
        readers.emplace_back([&] {
            const rcu_thread registration;
            while (!done.load()) {
                const auto seen = cell.load();
                torn += seen->first == seen->second ? 0 : 1;
            }
        });
    }
    for (int value = 1; value <= swaps; ++value) {
        cell.store(std::make_shared<pair_value>(pair_value{ value, value }));
    }
    done = true;
    for (auto &reader : readers) {
        reader.join();
    }
    testing::expectEqual(torn.load(), 0);
}
