#include "base/endpoint.h"

#include <boost/asio/ip/address.hpp>

#include <charconv>

namespace mustardtrail
{

std::string toString(const endpoint &value)
{
    const bool isV6 = value.address.find(':') != std::string::npos;
    const std::string host = isV6 ? "[" + value.address + "]" : value.address;
    return host + ":" + std::to_string(value.port);
}

std::optional<endpoint> endpointFromString(std::string_view text)
{
    const size_t colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    std::string_view host = text.substr(0, colon);
    if (host.size() >= 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    boost::system::error_code failure;
    boost::asio::ip::make_address(std::string(host), failure);
    if (failure) {
        return std::nullopt;
    }
    const std::string_view digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc{} || end != digits.data() + digits.size() || port == 0) {
        return std::nullopt;
    }
    return endpoint{ std::string(host), port };
}

} // namespace mustardtrail
