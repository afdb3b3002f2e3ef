#pragma once

#include "base/clock.h"
#include "membership/live_list_entry.h"

#include <initializer_list>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace mustardtrail::membership
{

/// Configuration service and live list for the tests of this module.
class fake_platform
{
public:
    enum class mode { up, down, stale, older, garbage, empty };

    void set(const std::string &key, const std::string &value);
    std::int64_t revision() const;
    std::string reply(std::int64_t after) const;

    std::string list() const;

    mode configMode = mode::up;
    mode listMode = mode::up;
    std::map<std::string, live_list_entry> entries;
    std::map<std::string, std::int64_t> configReads; ///< By instance.

private:
    struct published {
        std::int64_t revision = 0;
        std::string value;
    };

    std::int64_t m_revision = 0;
    std::map<std::string, published> m_values;
};

/// One text of several; a chain of plus signs gives false warnings of g++ 12.
std::string joined(std::initializer_list<std::string_view> parts);

/// Value of `data_centres` with those that are out of service.
std::string dataCentresValue(int dataCentres, const std::vector<int> &out = {});
std::string dataCentreName(int index);
std::string instanceName(int index);
std::string serverName(int dataCentre, int server);
std::string serversValue(int dataCentre, int servers, const std::string &outOfService = "");

} // namespace mustardtrail::membership
