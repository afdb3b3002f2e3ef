#pragma once

namespace mustardtrail
{

/// Joins lambdas into one visitor of a std::variant.
template<typename... handlers> struct overloaded : handlers... {
    using handlers::operator()...;
};
template<typename... handlers> overloaded(handlers...) -> overloaded<handlers...>;

} // namespace mustardtrail
