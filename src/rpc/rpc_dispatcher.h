#pragma once

#include <functional>
#include <map>
#include <memory>
#include <string>

// This header is read as C++14 by the target that includes libjsonrpccpp.
namespace mustardtrail
{
namespace rpc
{

/// Takes the parameters and gives the result, both as JSON text; throws std::exception on bad parameters.
using rpc_method = std::function<std::string(const std::string &parameters)>;

/// Server side of JSON-RPC 2.0 without a transport: text of a request in, text of the response out.
class rpc_dispatcher
{
public:
    rpc_dispatcher();
    ~rpc_dispatcher();
    rpc_dispatcher(const rpc_dispatcher &) = delete;
    rpc_dispatcher &operator=(const rpc_dispatcher &) = delete;

    /// Registers a method that takes named parameters.
    void add(const std::string &name, rpc_method method);
    std::string handle(const std::string &request);

private:
    class implementation;
    std::unique_ptr<implementation> m_implementation;
};

} // namespace rpc
} // namespace mustardtrail
