#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardtrail::settings
{

/// Settings of one process after all checks. The accessors take keys of the rules that the file was read with.
class settings_values
{
public:
    void set(const std::string &key, std::string text, std::int64_t number);

    const std::string &text(const std::string &key) const;
    bool has(const std::string &key) const; ///< True when the value is not empty.
    endpoint address(const std::string &key) const;
    std::vector<endpoint> addresses(const std::string &key) const;
    std::chrono::milliseconds duration(const std::string &key) const;
    double fraction(const std::string &key) const;
    std::int64_t number(const std::string &key) const; ///< Bytes of a size, or a count.

private:
    struct entry {
        std::string text;
        std::int64_t number = 0;
    };
    std::map<std::string, entry> m_entries;
};

} // namespace mustardtrail::settings
