#pragma once

#include <compare>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace mustardtrail
{

/// Strongly typed string id; ids with different tags do not convert into each other.
template<typename tag> class named_id
{
public:
    named_id() = default;
    explicit named_id(std::string text)
        : m_text(std::move(text))
    {
    }

    const std::string &str() const
    {
        return m_text;
    }
    bool empty() const
    {
        return m_text.empty();
    }
    // clang-tidy 14 reads the generated comparison with 0 as a null pointer.
    // NOLINTNEXTLINE(modernize-use-nullptr)
    auto operator<=>(const named_id &) const = default;

    friend std::ostream &operator<<(std::ostream &out, const named_id &id)
    {
        return out << id.m_text;
    }

private:
    std::string m_text;
};

using instance_id = named_id<struct instance_tag>; ///< Entry instance.
using data_centre_id = named_id<struct data_centre_tag>;
using backend_server_id = named_id<struct backend_server_tag>; ///< Model engine or plain service.
using customer_id = named_id<struct customer_tag>;
using class_id = named_id<struct class_tag>; ///< Class of work.
using model_id = named_id<struct model_tag>;
using service_id = named_id<struct service_tag>; ///< Plain service.
using request_id = named_id<struct request_tag>; ///< One request of a caller, unique in the fleet.
using attempt_id = named_id<struct attempt_tag>; ///< One attempt to run a request at one backend server.

} // namespace mustardtrail

template<typename tag> struct std::hash<mustardtrail::named_id<tag>> {
    size_t operator()(const mustardtrail::named_id<tag> &id) const noexcept
    {
        return std::hash<std::string>{}(id.str());
    }
};
