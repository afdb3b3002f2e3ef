#include "request/key_codec.h"

#include "request/internal/json_reader.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>

namespace mustardtrail::request
{

namespace
{

boost::json::object toJson(const held_key &key)
{
    return { { "request", key.request.str() },
        { "customer", key.customer.str() },
        { "key", key.key },
        { "fingerprint", key.fingerprint },
        { "running", key.running },
        { "verdict", toString(key.outcome) },
        { "left_ms", key.left.count() } };
}

result<held_key> heldKeyFromJson(const boost::json::value &message)
{
    json_reader reader(message);
    held_key key;
    key.request = request_id(reader.text("request", maxIdBytes));
    key.customer = customer_id(reader.text("customer", maxIdBytes));
    key.key = reader.text("key", maxKeyBytes);
    key.fingerprint = reader.number("fingerprint");
    key.running = reader.flag("running");
    key.outcome = reader.outcome("verdict");
    key.left = reader.duration("left_ms");
    if (const std::optional<error> fault = reader.fault()) {
        return tl::make_unexpected(*fault);
    }
    return key;
}

} // namespace

boost::json::value toJson(const key_handover &handover)
{
    boost::json::array keys;
    for (const held_key &key : handover.keys) {
        keys.push_back(toJson(key));
    }
    return boost::json::object{ { "home", handover.home.str() }, { "keys", std::move(keys) } };
}

result<key_handover> keyHandoverFromJson(const boost::json::value &message)
{
    json_reader reader(message);
    key_handover handover;
    handover.home = instance_id(reader.text("home", maxIdBytes));
    const boost::json::array *keys = reader.items("keys", maxKeysPerHandover);
    if (const std::optional<error> fault = reader.fault()) {
        return tl::make_unexpected(*fault);
    }
    for (const boost::json::value &item : *keys) {
        result<held_key> key = heldKeyFromJson(item);
        if (!key) {
            return tl::make_unexpected(key.error());
        }
        handover.keys.push_back(std::move(*key));
    }
    return handover;
}

} // namespace mustardtrail::request
