#include "rpc/rpc_dispatcher.h"
#include "rpc/rpc_message.h"

#include "testing/expect.h"

#include <stdexcept>

using namespace mustardtrail::rpc;
using mustardtrail::testing::expectEqual;

namespace
{

std::string echo(const std::string &parameters)
{
    if (parameters.find("bad") != std::string::npos) {
        throw std::runtime_error("no good");
    }
    return parameters;
}

} // namespace

Test(rpc, carriesParametersAndResult)
{
    rpc_dispatcher dispatcher;
    dispatcher.add("echo", echo);
    const rpc_response response = readResponse(dispatcher.handle(makeRequest("echo", "{\"a\":[1,\"x\"]}")));
    cr_assert(response.ok);
    expectEqual(response.result, "{\"a\":[1,\"x\"]}");
}

Test(rpc, reportsBadParametersUnknownMethodsAndGarbage)
{
    rpc_dispatcher dispatcher;
    dispatcher.add("echo", echo);
    cr_assert_not(readResponse(dispatcher.handle(makeRequest("echo", "{\"bad\":1}"))).ok);
    cr_assert_not(readResponse(dispatcher.handle(makeRequest("other", "{}"))).ok);
    cr_assert_not(readResponse(dispatcher.handle("nonsense")).ok);
    cr_assert_not(readResponse("nonsense").ok);
    cr_assert_not(readResponse("{}").ok);
}
