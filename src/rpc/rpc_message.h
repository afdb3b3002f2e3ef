#pragma once

#include <string>

// This header is read as C++14 by the target that includes libjsonrpccpp.
namespace mustardtrail
{
namespace rpc
{

/// Text of a request; the parameters are a JSON object.
std::string makeRequest(const std::string &method, const std::string &parameters);

/// Result or error of a response.
struct rpc_response {
    bool ok = false;
    std::string result; ///< JSON text.
    std::string problem; ///< What the server said, or why the response is not one.
};

rpc_response readResponse(const std::string &response);

} // namespace rpc
} // namespace mustardtrail
