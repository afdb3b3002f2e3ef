#include "membership/member_news.h"

#include <tuple>

namespace mustardtrail::membership
{

namespace
{

int gravity(peer_state state)
{
    switch (state) {
    case peer_state::alive:
        return 0;
    case peer_state::suspect:
        return 1;
    case peer_state::leaving:
        return 2;
    case peer_state::dead:
        return 3;
    }
    return 0;
}

} // namespace

bool isNewer(const member_news &left, const member_news &right)
{
    return std::tuple(left.member.incarnation, left.refutation, gravity(left.member.state))
        > std::tuple(right.member.incarnation, right.refutation, gravity(right.member.state));
}

} // namespace mustardtrail::membership
