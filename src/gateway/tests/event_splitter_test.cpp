#include "gateway/event_splitter.h"

#include "testing/expect.h"

using namespace mustardtrail::gateway;
using mustardtrail::testing::expectEqual;

Test(event_splitter, returnsCompleteEventsOnly)
{
    event_splitter events;
    events.append("id: 1\ndata: a\n");
    cr_assert_not(events.next().has_value());
    events.append("\nid: 2\nda");
    const auto event = events.next();
    expectEqual(event->text, "id: 1\ndata: a\n\n");
    expectEqual(*event->id, 1U);
    cr_assert_not(events.next().has_value());
    cr_assert(events.hasPartialEvent());
}

Test(event_splitter, discardsAPartialEventBeforeAnotherServerContinues)
{
    event_splitter events;
    events.append("id: 1\ndata: a\n\nid: 2\nda");
    events.next();
    events.discardPartialEvent();
    events.append("id: 2\ndata: b\n\n");
    const auto event = events.next();
    expectEqual(event->text, "id: 2\ndata: b\n\n");
    expectEqual(*event->id, 2U);
    cr_assert_not(events.hasPartialEvent());
}

Test(event_splitter, acceptsLfAndCrlfLineEnds)
{
    event_splitter events;
    events.append("id: 7\r\ndata: a\r\n\r\nid: 8\ndata: b\n\n");
    const auto event = events.next();
    expectEqual(event->text, "id: 7\r\ndata: a\r\n\r\n");
    expectEqual(*event->id, 7U);
    expectEqual(events.next()->text, "id: 8\ndata: b\n\n");
}

Test(event_splitter, tellsCommentsFromEventsWithoutId)
{
    event_splitter events;
    events.append(": still here\r\n\r\ndata: b\n\n{\"error\": \"full\"}\n\n");
    cr_assert(events.next()->isComment);
    for (int count = 0; count < 2; ++count) {
        const auto event = events.next();
        cr_assert_not(event->isComment);
        cr_assert_not(event->id.has_value());
    }
}

Test(event_splitter, findsAnEventWhoseEndArrivesInPieces)
{
    for (const std::string end : { "\n\n", "\r\n\r\n" }) {
        event_splitter events;
        events.append("id: 9\ndata: a");
        for (const char byte : end) {
            cr_assert_not(events.next().has_value());
            events.append(std::string_view(&byte, 1));
        }
        expectEqual(events.next()->text, "id: 9\ndata: a" + end);
        cr_assert_not(events.hasPartialEvent());
    }
}

Test(event_splitter, tellsAnEventWithoutEndFromALongOne)
{
    const std::string piece(16 * 1024, 'x');
    event_splitter events;
    events.append("id: 1\ndata: ");
    for (int count = 0; count < 60; ++count) {
        events.append(piece);
        cr_assert_not(events.next().has_value());
        cr_assert_not(events.isEventTooLong());
    }
    events.append("\n\n");
    cr_assert(events.next().has_value());
    for (int count = 0; count < 65; ++count) {
        events.append(piece);
        cr_assert_not(events.next().has_value());
    }
    cr_assert(events.isEventTooLong());
    events.discardPartialEvent();
    cr_assert_not(events.isEventTooLong());
}
