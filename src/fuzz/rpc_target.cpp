#include "base/json_access.h"
#include "fuzz/fuzz_target.h"
#include "group/reservation_codec.h"
#include "request/key_codec.h"
#include "rpc/rpc_dispatcher.h"
#include "rpc/rpc_message.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::fuzz
{

namespace
{

namespace json = boost::json;

/// Reads the payload as one kind of message; a message that was read has to be read again from what it is written as.
template<typename reader> error_code readPayload(const json::value &payload, reader read)
{
    const auto message = read(payload);
    if (!message) {
        require(message.error().outcome == verdict::not_run);
        return message.error().code;
    }
    const json::value written = toJson(*message);
    const auto again = read(written);
    require(again && toJson(*again) == written);
    return error_code::none;
}

std::vector<error_code> readPayloads(const json::value &payload)
{
    const std::vector<error_code> codes{ readPayload(payload, request::keyClaimFromJson),
        readPayload(payload, request::keyClaimReplyFromJson),
        readPayload(payload, request::keyOutcomeFromJson),
        readPayload(payload, request::keyHandoverFromJson),
        readPayload(payload, group::reserveRequestFromJson),
        readPayload(payload, group::reserveReplyFromJson),
        readPayload(payload, group::releaseRequestFromJson) };
    for (const error_code code : codes) {
        if (code == error_code::none) {
            return {};
        }
    }
    return codes;
}

} // namespace

/// The bytes are a request with a payload, and also a response.
std::vector<error_code> readAnyBytes(std::string_view bytes)
{
    const std::string text(bytes);
    std::vector<error_code> codes{ error_code::peer_message_invalid };
    rpc::rpc_dispatcher dispatcher;
    dispatcher.add("take", [&codes](const std::string &parameters) {
        codes = readPayloads(json::parse(parameters));
        return parameters;
    });
    const rpc::rpc_response answer = rpc::readResponse(dispatcher.handle(text));
    require(answer.ok || !answer.problem.empty());
    const rpc::rpc_response response = rpc::readResponse(text);
    require(response.ok ? !response.result.empty() : !response.problem.empty());
    return codes;
}

} // namespace mustardtrail::fuzz
