#include "rpc/rpc_dispatcher.h"

#include "rpc/internal/json_text.h"

#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/abstractserver.h>
#include <jsonrpccpp/server/abstractserverconnector.h>

#include <utility>

namespace mustardtrail
{
namespace rpc
{

namespace
{

constexpr const char *unreadable = R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"JSON_PARSE_ERROR"}})";

/// Connector without a transport; the HTTP adapter hands the text in.
class text_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool StopListening() override // NOLINT(readability-identifier-naming)
    {
        return true;
    }
    bool SendResponse(const std::string &response, void *target) override // NOLINT(readability-identifier-naming)
    {
        *static_cast<std::string *>(target) = response;
        return true;
    }
};

} // namespace

// The connector is a base so that it exists before the library's server takes a reference to it.
class rpc_dispatcher::implementation final : private text_connector, private jsonrpc::AbstractServer<implementation>
{
public:
    implementation()
        : jsonrpc::AbstractServer<implementation>(static_cast<text_connector &>(*this))
    {
    }

    void add(const std::string &name, rpc_method method)
    {
        m_methods[name] = std::move(method);
        jsonrpc::Procedure procedure(name, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr);
        bindAndAddMethod(procedure, &implementation::unused);
    }

    std::string handle(const std::string &request)
    {
        if (!isFitForParser(request)) {
            return unreadable;
        }
        std::string response;
        OnRequest(request, &response);
        return response;
    }

private:
    void unused(const Json::Value &, Json::Value &)
    {
    }

    void HandleMethodCall(
        jsonrpc::Procedure &procedure, const Json::Value &input, Json::Value &output) override // NOLINT(readability-identifier-naming)
    {
        try {
            output = valueOf(m_methods.at(procedure.GetProcedureName())(textOf(input)));
        } catch (const std::exception &problem) {
            throw jsonrpc::JsonRpcException(jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS, problem.what());
        }
    }

    std::map<std::string, rpc_method> m_methods;
};

rpc_dispatcher::rpc_dispatcher()
    : m_implementation(new implementation())
{
}

rpc_dispatcher::~rpc_dispatcher() = default;

void rpc_dispatcher::add(const std::string &name, rpc_method method)
{
    m_implementation->add(name, std::move(method));
}

std::string rpc_dispatcher::handle(const std::string &request)
{
    return m_implementation->handle(request);
}

} // namespace rpc
} // namespace mustardtrail
