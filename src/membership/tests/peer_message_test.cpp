#include "membership/ownership.h"
#include "membership/peer_message.h"

#include "base/random_source.h"

#include "tests/fake_platform.h"

#include "testing/expect.h"

#include "testing/criterion.h"

using namespace mustardtrail;
using namespace mustardtrail::membership;

namespace
{

peer_message sample()
{
    peer_message message;
    message.cluster = 7;
    message.kind = peer_message_kind::indirect_probe;
    message.sequence = 42;
    message.sender = { { instance_id("e1"), data_centre_id("dc1"), { "10.0.0.1", 8080 }, { "::1", 7000 }, peer_state::leaving, 9 }, 3 };
    message.subject = instance_id("e2");
    message.subjectAddress = { "10.0.0.2", 7000 };
    message.configRevision = 12;
    message.configAge = std::chrono::milliseconds(0);
    message.logicalTime = 1'764'000'000'000;
    message.members = { message.sender };
    message.listings = { { "g1", listing_kind::backend_server, listing_state::absent, 5 } };
    message.ownerLoads = { std::string("\0\x01", 2) };
    return message;
}

} // namespace

Test(peer_message, readsBackWhatItWrites)
{
    const auto decoded = decodePeerMessage(encode(sample()));
    cr_assert(decoded.has_value());
    cr_assert(*decoded == sample());
}

Test(peer_message, refusesWhatIsIncompleteTooLargeOrUnknown)
{
    peer_message noSender = sample();
    noSender.sender.member.id = {};
    peer_message unknownState = sample();
    unknownState.members[0].member.state = static_cast<peer_state>(4);
    peer_message unknownKind = sample();
    unknownKind.kind = static_cast<peer_message_kind>(4);
    peer_message tooLarge = sample();
    tooLarge.ownerLoads.assign(1, std::string(maxDatagramBytes, 'x'));
    for (const peer_message &bad : { noSender, unknownState, unknownKind, tooLarge }) {
        const auto decoded = decodePeerMessage(encode(bad));
        cr_assert_not(decoded.has_value());
        cr_assert(decoded.error().code == error_code::peer_message_invalid);
    }
}

Test(peer_message, survivesDamagedBytes)
{
    random_source random(1);
    const std::string good = encode(sample());
    int accepted = 0;
    for (int round = 0; round < 20000; ++round) {
        std::string bytes = good.substr(0, random.below(good.size() + 1));
        for (std::uint64_t flips = random.below(4); flips > 0 && !bytes.empty(); --flips) {
            bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
        }
        accepted += decodePeerMessage(bytes).has_value() ? 1 : 0;
    }
    cr_assert(accepted < 20000);
}

Test(ownership, aLeaverMovesOnlyItsOwnServers)
{
    std::vector<instance_id> all;
    for (int index = 0; index < 20; ++index) {
        all.emplace_back(instanceName(index));
    }
    std::vector<instance_id> fewer(all.begin() + 1, all.end());
    int moved = 0;
    for (int index = 0; index < 2000; ++index) {
        const backend_server_id server(serverName(1, index));
        const instance_id before = ownerOf(server, all);
        const instance_id after = ownerOf(server, fewer);
        cr_assert(before == after || before == all.front());
        moved += before != after ? 1 : 0;
    }
    cr_assert(moved > 50 && moved < 150, "%d of 2000", moved);
    cr_assert(ownerOf(backend_server_id("g1"), {}).empty());
}
