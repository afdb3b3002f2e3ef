#pragma once

#include <jsoncpp/json/json.h>

#include <string>

namespace mustardtrail
{
namespace rpc
{

/// False for comments and for nesting at which the library's reader throws; where it declares other exceptions that ends the process.
bool isFitForParser(const std::string &text);
std::string textOf(const Json::Value &value);
/// Throws std::runtime_error when the text is not JSON.
Json::Value valueOf(const std::string &text);

} // namespace rpc
} // namespace mustardtrail
