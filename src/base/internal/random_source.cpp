#include "base/random_source.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace mustardtrail
{

random_source::random_source(std::uint64_t seed)
    : m_engine(seed)
{
}

std::uint64_t random_source::below(std::uint64_t bound)
{
    return boost::random::uniform_int_distribution<std::uint64_t>(0, bound - 1)(m_engine);
}

double random_source::unit()
{
    return boost::random::uniform_01<double>()(m_engine);
}

} // namespace mustardtrail
