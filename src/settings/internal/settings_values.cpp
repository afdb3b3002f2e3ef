#include "settings/settings_values.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>

#include <utility>

namespace mustardtrail::settings
{

void settings_values::set(const std::string &key, std::string text, std::int64_t number)
{
    m_entries[key] = entry{ std::move(text), number };
}

const std::string &settings_values::text(const std::string &key) const
{
    return m_entries.at(key).text;
}

bool settings_values::has(const std::string &key) const
{
    return !m_entries.at(key).text.empty();
}

endpoint settings_values::address(const std::string &key) const
{
    return endpointFromString(text(key)).value();
}

std::vector<endpoint> settings_values::addresses(const std::string &key) const
{
    std::vector<std::string> parts;
    std::vector<endpoint> list;
    boost::algorithm::split(parts, text(key), boost::is_any_of(","));
    for (std::string &part : parts) {
        boost::algorithm::trim(part);
        if (const auto address = endpointFromString(part)) {
            list.push_back(*address);
        }
    }
    return list;
}

std::chrono::milliseconds settings_values::duration(const std::string &key) const
{
    return std::chrono::milliseconds(number(key));
}

double settings_values::fraction(const std::string &key) const
{
    constexpr double millionths = 1e6;
    return static_cast<double>(number(key)) / millionths;
}

std::int64_t settings_values::number(const std::string &key) const
{
    return m_entries.at(key).number;
}

} // namespace mustardtrail::settings
