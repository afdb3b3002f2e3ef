#pragma once

#include "base/random_source.h"
#include "membership/internal/member.h"

#include <map>
#include <vector>

namespace mustardtrail::membership
{

/// Members in a shuffled order that is renewed after each round, so that each is reached once a round.
class probe_order
{
public:
    /// Next member in the order for which `isWanted` holds; empty when there is none.
    template<typename predicate>
    instance_id next(const std::map<instance_id, member> &members, random_source &random, const predicate &isWanted)
    {
        while (!m_round.empty()) {
            const instance_id id = m_round.back();
            m_round.pop_back();
            const auto found = members.find(id);
            if (found != members.end() && isWanted(found->second)) {
                return id;
            }
        }
        for (const auto &[id, known] : members) {
            if (isWanted(known)) {
                m_round.push_back(id);
            }
        }
        if (m_round.empty()) {
            return {};
        }
        shuffle(random);
        const instance_id id = m_round.back();
        m_round.pop_back();
        return id;
    }

private:
    void shuffle(random_source &random)
    {
        for (size_t left = m_round.size(); left > 1; --left) {
            std::swap(m_round[left - 1], m_round[random.below(left)]);
        }
    }

    std::vector<instance_id> m_round;
};

} // namespace mustardtrail::membership
