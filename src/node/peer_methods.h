#pragma once

#include <string_view>

/// Names of the JSON-RPC methods between entry instances.
namespace mustardtrail::node::peer_method
{

constexpr std::string_view claimKey = "key_claim";
constexpr std::string_view endKey = "key_outcome";
constexpr std::string_view handOverKeys = "key_handover";
constexpr std::string_view reserve = "group_reserve";
constexpr std::string_view release = "group_release";

} // namespace mustardtrail::node::peer_method
