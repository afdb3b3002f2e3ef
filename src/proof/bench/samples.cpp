#include "proof/bench/samples.h"

#include "programs/load/quantile.h"

#include <cstdio>

namespace mustardtrail::proof
{

namespace
{

template<typename Unit> std::string twoDecimals(std::chrono::nanoseconds value)
{
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", std::chrono::duration<double, Unit>(value).count());
    return text;
}

} // namespace

void samples::add(std::chrono::nanoseconds value)
{
    m_values.push_back(value);
}

size_t samples::count() const
{
    return m_values.size();
}

std::chrono::nanoseconds samples::quantile(double part) const
{
    return load::quantile(m_values, part);
}

std::chrono::nanoseconds samples::worst() const
{
    return quantile(1.0);
}

std::string milliText(std::chrono::nanoseconds value)
{
    return twoDecimals<std::milli>(value);
}

std::string secondText(std::chrono::nanoseconds value)
{
    return twoDecimals<std::ratio<1>>(value);
}

} // namespace mustardtrail::proof
