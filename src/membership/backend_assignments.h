#pragma once

#include "base/ids.h"
#include "membership/backend_assignment.h"

#include <map>
#include <memory>
#include <utility>

namespace mustardtrail::membership
{

/// Assignments by backend server. Copies share one map until one of them is changed, so that a view
/// that only renews its confirmation costs the same whatever the size of the fleet.
class backend_assignments
{
public:
    using map = std::map<backend_server_id, backend_assignment>;

    backend_assignments() = default;
    ~backend_assignments() = default;
    // No move: an object that was moved from would hold no map.
    backend_assignments(const backend_assignments &) = default;
    backend_assignments &operator=(const backend_assignments &) = default;

    map::const_iterator begin() const
    {
        return m_map->begin();
    }
    map::const_iterator end() const
    {
        return m_map->end();
    }
    map::const_iterator find(const backend_server_id &id) const
    {
        return m_map->find(id);
    }
    const backend_assignment &at(const backend_server_id &id) const
    {
        return m_map->at(id);
    }
    bool contains(const backend_server_id &id) const
    {
        return m_map->contains(id);
    }
    size_t size() const
    {
        return m_map->size();
    }
    bool empty() const
    {
        return m_map->empty();
    }

    /// The map for changes; belongs to this object alone from here on.
    map &edit()
    {
        if (m_map.use_count() > 1) {
            m_map = std::make_shared<map>(*m_map);
        }
        return *m_map;
    }
    backend_assignment &operator[](const backend_server_id &id)
    {
        return edit()[id];
    }
    template<typename... arguments> void emplace(arguments &&...values)
    {
        edit().emplace(std::forward<arguments>(values)...);
    }
    void erase(const backend_server_id &id)
    {
        edit().erase(id);
    }

    bool operator==(const backend_assignments &other) const
    {
        return m_map == other.m_map || *m_map == *other.m_map;
    }

private:
    std::shared_ptr<map> m_map = std::make_shared<map>();
};

} // namespace mustardtrail::membership
