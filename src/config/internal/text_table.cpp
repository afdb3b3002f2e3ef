#include "config/text_table.h"

#include <algorithm>

namespace mustardtrail::config
{

namespace
{

constexpr size_t gap = 2;

size_t width(const std::string &text)
{
    // Continuation bytes of UTF-8 take no column.
    return static_cast<size_t>(std::count_if(text.begin(), text.end(), [](char byte) {
        return (static_cast<unsigned char>(byte) & 0xC0U) != 0x80U;
    }));
}

} // namespace

text_table::text_table(std::vector<std::string> heading)
{
    m_rows.push_back(std::move(heading));
}

void text_table::add(std::vector<std::string> row)
{
    m_rows.push_back(std::move(row));
}

bool text_table::empty() const
{
    return m_rows.size() <= 1;
}

std::string text_table::str() const
{
    std::vector<size_t> widths(m_rows.front().size(), 0);
    for (const std::vector<std::string> &row : m_rows) {
        for (size_t column = 0; column < widths.size(); ++column) {
            widths[column] = std::max(widths[column], width(row[column]));
        }
    }
    std::string result;
    for (const std::vector<std::string> &row : m_rows) {
        std::string line;
        for (size_t column = 0; column < widths.size(); ++column) {
            line += row[column];
            line.append(widths[column] - width(row[column]) + gap, ' ');
        }
        line.erase(line.find_last_not_of(' ') + 1);
        result += line + '\n';
    }
    return result;
}

} // namespace mustardtrail::config
