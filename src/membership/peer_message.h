#pragma once

#include "base/error.h"
#include "membership/listing.h"
#include "membership/member_news.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace mustardtrail::membership
{

enum class peer_message_kind {
    probe = 1, ///< Asks the receiver for an ack.
    ack, ///< Answers a probe; with a subject: passes on that the subject answered.
    indirect_probe, ///< Asks the receiver to probe the subject and to pass its ack on.
};

/// One datagram between peers.
struct peer_message {
    std::uint32_t cluster = 0; ///< Datagrams of another cluster are dropped.
    peer_message_kind kind = peer_message_kind::probe;
    std::uint32_t sequence = 0;
    member_news sender;
    instance_id subject;
    endpoint subjectAddress;
    std::int64_t configRevision = 0; ///< Highest revision that the sender holds.
    std::optional<std::chrono::milliseconds> configAge; ///< Since the service was known to have nothing newer.
    std::optional<std::chrono::milliseconds> listAge; ///< Since the live list was read by anyone the sender heard of.
    std::uint64_t logicalTime = 0;
    std::vector<member_news> members;
    std::vector<listing> listings;
    std::vector<std::string> ownerLoads; ///< Load summaries of owners; not read here.

    bool operator==(const peer_message &) const = default;
};

/// Upper bound of an encoded message, so that a datagram is not fragmented.
constexpr size_t maxDatagramBytes = 1400;

std::string encode(const peer_message &message);

/// Refuses with peer_message_invalid what is too large, incomplete or has unknown values.
result<peer_message> decodePeerMessage(std::string_view bytes);

} // namespace mustardtrail::membership
