#include "http/header_list.h"

#include <boost/beast/core/string.hpp>

namespace mustardtrail::http
{

header_list::header_list(std::initializer_list<field> fields)
    : m_fields(fields)
{
}

void header_list::add(std::string name, std::string value)
{
    m_fields.emplace_back(std::move(name), std::move(value));
}

std::string_view header_list::find(std::string_view name) const
{
    for (const auto &[fieldName, value] : m_fields) {
        if (boost::beast::iequals(
                boost::beast::string_view(fieldName.data(), fieldName.size()), boost::beast::string_view(name.data(), name.size()))) {
            return value;
        }
    }
    return {};
}

const std::vector<header_list::field> &header_list::fields() const
{
    return m_fields;
}

} // namespace mustardtrail::http
