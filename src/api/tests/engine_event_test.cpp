#include "api/answer_writer.h"
#include "api/engine_event.h"
#include "api/event_parser.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::api;
using mustardtrail::testing::expectEqual;

Test(event_parser, cutsEventsAtAnyByteBoundary)
{
    const std::string stream = ": queued\n\ndata: {\"a\":1}\n\ndata: [DONE]\n\n";
    for (size_t cut = 0; cut <= stream.size(); ++cut) {
        event_parser parser;
        parser.push(stream.substr(0, cut));
        std::string joined;
        while (const auto event = parser.next()) {
            joined += *event + "|";
        }
        parser.push(stream.substr(cut));
        while (const auto event = parser.next()) {
            joined += *event + "|";
        }
        expectEqual(joined, "{\"a\":1}|[DONE]|");
    }
}

Test(event_parser, givesUpOnAnEventWithoutEnd)
{
    event_parser parser(100);
    parser.push("data: " + std::string(200, 'x'));
    cr_assert_not(parser.next().has_value());
    cr_assert(parser.isBroken());
}

Test(engine_event, readsBackWhatItWrites)
{
    engine_event piece{ engine_event::kind::piece, 3, "ab \"c\"\n", 2, "", {} };
    event_parser parser;
    parser.push(writeEngineEvent(piece, "a-1"));
    const auto read = readEngineEvent(parser.next().value());
    cr_assert(read.has_value());
    expectEqual(read->sequence, 3u);
    expectEqual(read->text, piece.text);
    expectEqual(read->tokens, 2);

    engine_event failed;
    failed.type = engine_event::kind::failed;
    failed.failure = { error_code::queue_full, verdict::not_run, "d", std::chrono::milliseconds(250) };
    parser.push(writeEngineEvent(failed, "a-1"));
    const auto failure = readEngineEvent(parser.next().value());
    cr_assert(failure->type == engine_event::kind::failed);
    expectEqual(toString(failure->failure.code), "MT-4002");
    expectEqual(toString(failure->failure.outcome), "not_run");
    expectEqual(failure->failure.retryAfter->count(), 250);
}

Test(engine_event, refusesOtherShapes)
{
    for (const char *data :
        { "", "{}", "[]", "{\"seq\":-1}", "{\"seq\":1}", "{\"seq\":1,\"choices\":[]}", "{\"seq\":1,\"choices\":[3]}", "nonsense" }) {
        const auto read = readEngineEvent(data);
        cr_assert(!read.has_value(), "%s", data);
        expectEqual(toString(read.error().code), toString(error_code::backend_answer_invalid));
    }
}

Test(answer_writer, carriesCodeVerdictAndWait)
{
    const error failure{ error_code::queue_full, verdict::not_run, "", std::chrono::milliseconds(1500) };
    expectEqual(errorBody(failure, "full"),
        R"({"error":{"message":"full","code":"MT-4002","verdict":"not_run","type":"invalid_request_error","param":null,"retry_after_ms":1500}})");
    expectEqual(httpStatusOf(error_code::queue_full), 429);
}
