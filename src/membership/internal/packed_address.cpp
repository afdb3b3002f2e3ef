#include "membership/internal/packed_address.h"

#include <boost/asio/ip/address.hpp>

#include <algorithm>

namespace mustardtrail::membership
{

namespace
{

constexpr size_t portBytes = 2;
constexpr unsigned byteBits = 8;
constexpr unsigned byteMask = 0xff;

template<typename address> std::string packed(const address &value)
{
    const auto bytes = value.to_bytes();
    return { bytes.begin(), bytes.end() };
}

template<typename address> std::string unpacked(std::string_view text)
{
    typename address::bytes_type bytes{};
    std::copy(text.begin(), text.end(), bytes.begin());
    return address(bytes).to_string();
}

} // namespace

std::string packAddress(const endpoint &value)
{
    boost::system::error_code failure;
    const auto address = boost::asio::ip::make_address(value.address, failure);
    if (failure) {
        return {};
    }
    std::string bytes = address.is_v4() ? packed(address.to_v4()) : packed(address.to_v6());
    bytes += static_cast<char>(value.port >> byteBits);
    bytes += static_cast<char>(value.port & byteMask);
    return bytes;
}

std::optional<endpoint> unpackAddress(std::string_view bytes)
{
    using boost::asio::ip::address_v4;
    using boost::asio::ip::address_v6;
    constexpr size_t v4Bytes = std::tuple_size_v<address_v4::bytes_type>;
    constexpr size_t v6Bytes = std::tuple_size_v<address_v6::bytes_type>;
    if (bytes.size() != v4Bytes + portBytes && bytes.size() != v6Bytes + portBytes) {
        return std::nullopt;
    }
    const std::string_view host = bytes.substr(0, bytes.size() - portBytes);
    const auto high = static_cast<unsigned char>(bytes[host.size()]);
    const auto low = static_cast<unsigned char>(bytes[host.size() + 1]);
    endpoint value;
    value.address = host.size() == v4Bytes ? unpacked<address_v4>(host) : unpacked<address_v6>(host);
    value.port = static_cast<std::uint16_t>(high << byteBits | low);
    return value;
}

} // namespace mustardtrail::membership
