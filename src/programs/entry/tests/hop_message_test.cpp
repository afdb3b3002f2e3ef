#include "api/event_parser.h"
#include "programs/entry/hop_message.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::entry;
using namespace std::chrono_literals;

namespace
{

constexpr time_point arrivalAtOrigin{ 100s };
constexpr time_point arrivalAtOwner{ 700s };

placement::owner_summary makeLoad()
{
    placement::pool_summary pool;
    pool.pool = { placement::pool_kind::model, "pay" };
    pool.freeTokens = 6400;
    pool.shortFirstToken = 268ms;
    return { instance_id("e2"), arrivalAtOwner + 40ms, { pool } };
}

host::pool_directory makeDirectory()
{
    auto configuration = std::make_shared<config::configuration>();
    configuration->models.insert(model_id("pay"));
    host::pool_directory directory;
    directory.setConfiguration(configuration);
    return directory;
}

std::string firstData(const std::string &text)
{
    api::event_parser parser;
    parser.push(text);
    return parser.next().value_or(std::string());
}

} // namespace

Test(hop_message, loadComesBeforeItsEventAtTheTimeOfTheOrigin)
{
    const node::reply_on_hop reply{ attempt_id("a1"), request::attempt_accepted{ attempt_id("a1"), backend_server_id("g1") }, makeLoad() };
    const std::string data = firstData(hopReplyText(reply, arrivalAtOwner));
    const auto load = readHopLoad(data, makeDirectory(), arrivalAtOrigin, arrivalAtOrigin + 60ms);
    cr_assert(load.has_value());
    cr_assert(load->owner == instance_id("e2"));
    cr_assert(load->takenAt == arrivalAtOrigin + 40ms);
    cr_assert(load->pools == makeLoad().pools);
    const auto early = readHopLoad(data, makeDirectory(), arrivalAtOrigin, arrivalAtOrigin + 10ms);
    cr_assert(early->takenAt == arrivalAtOrigin + 10ms);
}

Test(hop_message, pieceOfAnAnswerBringsNoLoad)
{
    const node::reply_on_hop reply{ attempt_id("a1"), request::attempt_output{ attempt_id("a1"), 0, "x", 1 } };
    const std::string data = firstData(hopReplyText(reply, arrivalAtOwner));
    cr_assert_not(readHopLoad(data, makeDirectory(), arrivalAtOrigin, arrivalAtOrigin).has_value());
}
