#include "rpc/rpc_message.h"

#include "rpc/internal/json_text.h"

#include <jsonrpccpp/client/client.h>
#include <jsonrpccpp/client/iclientconnector.h>

#include <exception>

namespace mustardtrail
{
namespace rpc
{

namespace
{

constexpr int requestRecorded = 1;

/// Keeps the request that the library built; the transport sends it later.
class recording_connector final : public jsonrpc::IClientConnector
{
public:
    void SendRPCMessage(const std::string &message, std::string &) throw(jsonrpc::JsonRpcException) override // NOLINT
    {
        request = message;
        throw jsonrpc::JsonRpcException(requestRecorded);
    }
    std::string request;
};

/// Hands the library a response that has already come.
class replaying_connector final : public jsonrpc::IClientConnector
{
public:
    explicit replaying_connector(const std::string &response)
        : m_response(response)
    {
    }
    void SendRPCMessage(const std::string &, std::string &result) throw(jsonrpc::JsonRpcException) override // NOLINT
    {
        result = m_response;
    }

private:
    const std::string &m_response;
};

} // namespace

// The library's client blocks on its connector; splitting the call in two keeps the event loop free.
std::string makeRequest(const std::string &method, const std::string &parameters)
{
    recording_connector connector;
    jsonrpc::Client client(connector);
    try {
        client.CallMethod(method, valueOf(parameters));
    } catch (const jsonrpc::JsonRpcException &) {
        return connector.request;
    }
    return connector.request;
}

rpc_response readResponse(const std::string &response)
{
    rpc_response read;
    if (!isFitForParser(response)) {
        read.problem = "not fit for the parser";
        return read;
    }
    replaying_connector connector(response);
    jsonrpc::Client client(connector);
    try {
        read.result = textOf(client.CallMethod("", Json::Value(Json::objectValue)));
        read.ok = true;
    } catch (const std::exception &problem) {
        read.problem = problem.what();
    }
    return read;
}

} // namespace rpc
} // namespace mustardtrail
