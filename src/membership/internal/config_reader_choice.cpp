#include "membership/config_reader_choice.h"

#include "base/hash.h"

#include <algorithm>

namespace mustardtrail::membership
{

int readerRank(std::string_view service, const instance_id &self, const std::vector<instance_id> &candidates)
{
    const std::uint64_t own = rendezvousWeight(service, self.str());
    return static_cast<int>(std::count_if(candidates.begin(), candidates.end(), [&](const instance_id &candidate) {
        return rendezvousWeight(service, candidate.str()) > own;
    }));
}

} // namespace mustardtrail::membership
