#include "placement/candidate_ring.h"

#include "testing/expect.h"

#include <string>

using namespace mustardtrail;
using placement::candidate_ring;

namespace
{

candidate_ring makeRing(std::size_t members, std::vector<std::string> &names)
{
    std::vector<std::string_view> views;
    names.clear();
    for (std::size_t number = 0; number < members; ++number) {
        names.push_back(std::to_string(number));
    }
    for (const std::string &name : names) {
        views.push_back(name);
    }
    candidate_ring ring;
    ring.assign(views);
    return ring;
}

} // namespace

Test(candidate_ring, aPrefixKeepsItsFirstChoiceWhenOthersLeave)
{
    std::vector<std::string> names;
    std::vector<std::uint32_t> before;
    std::vector<std::uint32_t> after;
    const candidate_ring all = makeRing(8, names);
    const candidate_ring fewer = makeRing(7, names);
    int moved = 0;
    for (std::uint64_t key = 0; key < 800; ++key) {
        all.pick(key, 0, 8, before);
        fewer.pick(key, 0, 8, after);
        moved += before.front() != 7 && before.front() != after.front() ? 1 : 0;
    }
    testing::expectEqual(moved, 0);
}

Test(candidate_ring, picksAFewMembersOfALargeSetAndSpreadsKeys)
{
    std::vector<std::string> names;
    std::vector<std::uint32_t> picked;
    const candidate_ring ring = makeRing(1000, names);
    std::vector<int> first(1000);
    for (std::uint64_t key = 0; key < 20000; ++key) {
        ring.pick(key * 0x9e3779b97f4a7c15ULL, key, 8, picked);
        cr_assert(!picked.empty() && picked.size() <= 8);
        ++first[picked.front()];
    }
    for (const int count : first) {
        cr_assert(count < 200, "one member is the first choice of %d keys", count);
    }
}
