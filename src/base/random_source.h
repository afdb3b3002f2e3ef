#pragma once

#include <cstdint>

#include <boost/random/mersenne_twister.hpp>

namespace mustardtrail
{

/// Seeded random numbers, the same sequence on every machine.
class random_source
{
public:
    explicit random_source(std::uint64_t seed);

    /// Uniform over [0, bound); bound must be above zero.
    std::uint64_t below(std::uint64_t bound);
    /// Uniform over [0, 1).
    double unit();

private:
    boost::random::mt19937_64 m_engine;
};

} // namespace mustardtrail
