#include "programs/gateway/relayed_changes.h"

#include "load_report.pb.h"

#include <boost/beast/zlib/deflate_stream.hpp>
#include <boost/beast/zlib/inflate_stream.hpp>

namespace mustardtrail::gateway
{

namespace zlib = boost::beast::zlib;

namespace
{

constexpr size_t maxExpandedBytes = 4 * 1024 * 1024;

std::string compressed(const std::string &bytes)
{
    zlib::deflate_stream stream;
    std::string out(stream.upper_bound(bytes.size()), '\0');
    zlib::z_params params;
    params.next_in = bytes.data();
    params.avail_in = bytes.size();
    params.next_out = out.data();
    params.avail_out = out.size();
    boost::system::error_code failure;
    stream.write(params, zlib::Flush::finish, failure);
    out.resize(params.total_out);
    return out;
}

std::optional<std::string> expanded(const std::string &bytes)
{
    constexpr size_t pieceBytes = 64 * 1024;
    zlib::inflate_stream stream;
    zlib::z_params params;
    params.next_in = bytes.data();
    params.avail_in = bytes.size();
    std::string out;
    boost::system::error_code failure;
    while (!failure && out.size() < maxExpandedBytes) {
        out.resize(out.size() + pieceBytes);
        params.next_out = out.data() + params.total_out;
        params.avail_out = out.size() - params.total_out;
        const size_t before = params.total_out;
        stream.write(params, zlib::Flush::sync, failure);
        if (!failure && params.total_out == before) {
            return std::nullopt; // The bytes end too early.
        }
    }
    if (failure != zlib::error::end_of_stream) {
        return std::nullopt;
    }
    out.resize(params.total_out);
    return out;
}

} // namespace

std::string encodeRelayedChanges(const std::vector<platform::store_change> &changes)
{
    wire::StoreChanges message;
    for (const platform::store_change &change : changes) {
        wire::StoreChange &each = *message.add_changes();
        each.set_key(change.key);
        each.set_value(change.value);
        each.set_revision(change.revision);
        each.set_removed(change.isRemoved);
    }
    return compressed(message.SerializeAsString());
}

std::optional<std::vector<platform::store_change>> decodeRelayedChanges(const std::string &bytes)
{
    const auto text = expanded(bytes);
    wire::StoreChanges message;
    if (!text || !message.ParseFromString(*text)) {
        return std::nullopt;
    }
    std::vector<platform::store_change> changes;
    for (const wire::StoreChange &each : message.changes()) {
        changes.push_back({ each.key(), each.value(), each.revision(), each.removed() });
    }
    return changes;
}

} // namespace mustardtrail::gateway
