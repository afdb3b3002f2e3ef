#pragma once

#include <jsoncpp/json/json.h>

#include <string>

namespace mustardtrail
{
namespace rpc
{

std::string textOf(const Json::Value &value);
/// Throws std::runtime_error when the text is not JSON.
Json::Value valueOf(const std::string &text);

} // namespace rpc
} // namespace mustardtrail
