#pragma once

#include <string>
#include <vector>

namespace mustardtrail::config
{

/// Plain table whose columns line up by characters, not bytes.
class text_table
{
public:
    explicit text_table(std::vector<std::string> heading);

    void add(std::vector<std::string> row);
    bool empty() const;
    std::string str() const;

private:
    std::vector<std::vector<std::string>> m_rows;
};

} // namespace mustardtrail::config
