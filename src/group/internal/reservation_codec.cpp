#include "group/reservation_codec.h"

#include "group/internal/message_reader.h"

#include <boost/json/object.hpp>

namespace mustardtrail::group
{

namespace
{

/// Larger than any engine's memory; beyond it a number is garbage.
constexpr std::int64_t tokenLimit = 1'000'000'000;
constexpr std::chrono::milliseconds leaseCeiling{ 600'000 };

boost::json::object keyToJson(const group_key &key, const backend_server_id &backend)
{
    return { { "group", key.group.str() }, { "generation", key.generation }, { "backend", backend.str() } };
}

group_key readKey(message_reader &reader)
{
    return { group_id(reader.text("group")), reader.unsignedNumber("generation") };
}

std::optional<error> readFailure(message_reader &reader)
{
    const auto code = errorCodeFromString(reader.text("code"));
    const auto outcome = verdictFromString(reader.text("verdict"));
    if (!code || !outcome) {
        reader.reject("code");
        return std::nullopt;
    }
    error failure{ *code, *outcome, reader.optionalText("detail"), std::nullopt };
    if (reader.has("retry_after_ms")) {
        failure.retryAfter = std::chrono::milliseconds(reader.number("retry_after_ms", 0, leaseCeiling.count()));
    }
    return failure;
}

} // namespace

boost::json::value toJson(const reserve_request &message)
{
    boost::json::object document = keyToJson(message.key, message.backend);
    document["tokens"] = message.tokens;
    document["lease_ms"] = message.lease.count();
    document["sequence"] = message.sequence;
    return document;
}

boost::json::value toJson(const reserve_reply &message)
{
    boost::json::object document = keyToJson(message.key, message.backend);
    document["sequence"] = message.sequence;
    document["fencing"] = message.fencingNumber;
    if (message.failure) {
        document["code"] = toString(message.failure->code);
        document["verdict"] = toString(message.failure->outcome);
        document["detail"] = message.failure->detail;
        if (message.failure->retryAfter) {
            document["retry_after_ms"] = message.failure->retryAfter->count();
        }
    }
    return document;
}

boost::json::value toJson(const release_request &message)
{
    return keyToJson(message.key, message.backend);
}

result<reserve_request> reserveRequestFromJson(const boost::json::value &document)
{
    message_reader reader(document);
    reserve_request message;
    message.key = readKey(reader);
    message.backend = backend_server_id(reader.text("backend"));
    message.tokens = reader.number("tokens", 1, tokenLimit);
    message.lease = std::chrono::milliseconds(reader.number("lease_ms", 1, leaseCeiling.count()));
    message.sequence = reader.unsignedNumber("sequence");
    return reader.finish(std::move(message));
}

result<reserve_reply> reserveReplyFromJson(const boost::json::value &document)
{
    message_reader reader(document);
    reserve_reply message;
    message.key = readKey(reader);
    message.backend = backend_server_id(reader.text("backend"));
    message.sequence = reader.unsignedNumber("sequence");
    message.fencingNumber = reader.unsignedNumber("fencing");
    if (reader.has("code")) {
        message.failure = readFailure(reader);
    }
    return reader.finish(std::move(message));
}

result<release_request> releaseRequestFromJson(const boost::json::value &document)
{
    message_reader reader(document);
    release_request message;
    message.key = readKey(reader);
    message.backend = backend_server_id(reader.text("backend"));
    return reader.finish(std::move(message));
}

} // namespace mustardtrail::group
