#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace mustardtrail::http::testing
{

struct strict_answer {
    int status = 0;
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
};

/// Reads the first answer, after any interim heads, in bytes that end with the connection. Takes nothing that the standard forbids a
/// sender, and no status line within a head. Slow and simple.
std::optional<strict_answer> readStrictly(std::string_view bytes);

} // namespace mustardtrail::http::testing
