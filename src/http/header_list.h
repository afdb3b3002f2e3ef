#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardtrail::http
{

/// Header fields in the order of the message; names are case-insensitive.
class header_list
{
public:
    using field = std::pair<std::string, std::string>;

    header_list() = default;
    header_list(std::initializer_list<field> fields);

    void add(std::string name, std::string value);
    /// First value under the name, empty when absent.
    std::string_view find(std::string_view name) const;
    const std::vector<field> &fields() const;

private:
    std::vector<field> m_fields;
};

} // namespace mustardtrail::http
