#include "http/request_message.h"

#include <boost/url/parse.hpp>

namespace mustardtrail::http
{

std::string_view request_message::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string request_message::query(std::string_view name) const
{
    const auto parsed = boost::urls::parse_origin_form(boost::urls::string_view(target.data(), target.size()));
    if (!parsed) {
        return {};
    }
    for (const auto &parameter : parsed->params()) {
        if (std::string_view(parameter.key.data(), parameter.key.size()) == name) {
            return std::string(parameter.value);
        }
    }
    return {};
}

size_t request_message::contentLength() const
{
    return bodyPrefix.size() + (body ? body->size() - bodySkip : 0);
}

} // namespace mustardtrail::http
