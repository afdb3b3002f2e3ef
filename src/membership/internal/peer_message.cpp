#include "membership/peer_message.h"

#include "membership/internal/packed_address.h"
#include <peer.pb.h>

#include <algorithm>

namespace mustardtrail::membership
{

namespace
{

constexpr size_t maxIdBytes = 64;
constexpr int maxRepeated = 64;

void fill(wire::Member &out, const member_news &news)
{
    out.set_id(news.member.id.str());
    out.set_data_centre(news.member.dataCentre.str());
    out.set_state(static_cast<std::uint32_t>(news.member.state));
    out.set_incarnation(news.member.incarnation);
    out.set_refutation(news.refutation);
    out.set_requests(packAddress(news.member.requests));
    out.set_heartbeats(packAddress(news.member.heartbeats));
}

void fill(wire::Listing &out, const listing &entry)
{
    out.set_id(entry.id);
    out.set_kind(static_cast<std::uint32_t>(entry.kind));
    out.set_state(static_cast<std::uint32_t>(entry.state));
    out.set_version(entry.version);
}

// Age 0 means unknown on the wire.
std::uint32_t wireAge(const std::optional<std::chrono::milliseconds> &age)
{
    if (!age) {
        return 0;
    }
    constexpr std::int64_t longest = std::numeric_limits<std::uint32_t>::max() - 1;
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(age->count(), 0, longest)) + 1;
}

std::optional<std::chrono::milliseconds> ageFromWire(std::uint32_t age)
{
    if (age == 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(age - 1);
}

bool isPrintable(const std::string &text)
{
    return std::all_of(text.begin(), text.end(), [](unsigned char byte) {
        return byte > ' ' && byte < 0x7f;
    });
}

bool isId(const std::string &text)
{
    return !text.empty() && text.size() <= maxIdBytes && isPrintable(text);
}

bool readAddress(const std::string &bytes, endpoint &out)
{
    if (bytes.empty()) {
        return true;
    }
    const auto address = unpackAddress(bytes);
    if (!address) {
        return false;
    }
    out = *address;
    return true;
}

bool read(const wire::Member &in, member_news &out)
{
    if (!isId(in.id()) || !isId(in.data_centre()) || in.state() > static_cast<std::uint32_t>(peer_state::dead)) {
        return false;
    }
    out.member.id = instance_id(in.id());
    out.member.dataCentre = data_centre_id(in.data_centre());
    out.member.state = static_cast<peer_state>(in.state());
    out.member.incarnation = in.incarnation();
    out.refutation = in.refutation();
    return readAddress(in.requests(), out.member.requests) && readAddress(in.heartbeats(), out.member.heartbeats);
}

bool read(const wire::Listing &in, listing &out)
{
    if (!isId(in.id()) || in.kind() > static_cast<std::uint32_t>(listing_kind::backend_server)
        || in.state() > static_cast<std::uint32_t>(listing_state::absent)) {
        return false;
    }
    out = { in.id(), static_cast<listing_kind>(in.kind()), static_cast<listing_state>(in.state()), in.version() };
    return true;
}

bool isKind(std::uint32_t kind)
{
    return kind >= static_cast<std::uint32_t>(peer_message_kind::probe)
        && kind <= static_cast<std::uint32_t>(peer_message_kind::indirect_probe);
}

template<typename wire_list, typename list> bool readAll(const wire_list &in, list &out)
{
    if (in.size() > maxRepeated) {
        return false;
    }
    for (const auto &entry : in) {
        if (!read(entry, out.emplace_back())) {
            return false;
        }
    }
    return true;
}

bool readHead(const wire::Datagram &in, peer_message &out)
{
    if (!isKind(in.kind()) || in.config_revision() < 0 || (!in.subject().empty() && !isId(in.subject()))) {
        return false;
    }
    out.cluster = in.cluster();
    out.kind = static_cast<peer_message_kind>(in.kind());
    out.sequence = in.sequence();
    out.subject = instance_id(in.subject());
    out.configRevision = in.config_revision();
    out.configAge = ageFromWire(in.config_age());
    out.listAge = ageFromWire(in.list_age());
    out.logicalTime = in.logical_time();
    return readAddress(in.subject_address(), out.subjectAddress);
}

error invalid(const char *reason)
{
    return { error_code::peer_message_invalid, verdict::not_run, std::string("reason=") + reason, std::nullopt };
}

} // namespace

std::string encode(const peer_message &message)
{
    wire::Datagram out;
    out.set_cluster(message.cluster);
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_sequence(message.sequence);
    fill(*out.mutable_sender(), message.sender);
    out.set_subject(message.subject.str());
    out.set_subject_address(packAddress(message.subjectAddress));
    out.set_config_revision(message.configRevision);
    out.set_config_age(wireAge(message.configAge));
    out.set_list_age(wireAge(message.listAge));
    out.set_logical_time(message.logicalTime);
    for (const member_news &news : message.members) {
        fill(*out.add_members(), news);
    }
    for (const listing &entry : message.listings) {
        fill(*out.add_listings(), entry);
    }
    for (const std::string &load : message.ownerLoads) {
        out.add_owner_loads(load);
    }
    return out.SerializeAsString();
}

result<peer_message> decodePeerMessage(std::string_view bytes)
{
    if (bytes.size() > maxDatagramBytes) {
        return tl::unexpected(invalid("too_large"));
    }
    wire::Datagram in;
    if (!in.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
        return tl::unexpected(invalid("syntax"));
    }
    peer_message out;
    if (!readHead(in, out) || !read(in.sender(), out.sender)) {
        return tl::unexpected(invalid("head"));
    }
    if (!readAll(in.members(), out.members) || !readAll(in.listings(), out.listings) || in.owner_loads_size() > maxRepeated) {
        return tl::unexpected(invalid("entries"));
    }
    out.ownerLoads.assign(in.owner_loads().begin(), in.owner_loads().end());
    return out;
}

} // namespace mustardtrail::membership
