#include "api/engine_event.h"
#include "api/event_parser.h"
#include "fuzz/fuzz_target.h"

namespace mustardtrail::fuzz
{

namespace
{

std::vector<std::string> eventsOf(std::string_view bytes, size_t cut)
{
    api::event_parser parser;
    std::vector<std::string> events;
    for (const std::string_view part : { bytes.substr(0, cut), bytes.substr(cut) }) {
        parser.push(part);
        while (const auto event = parser.next()) {
            events.push_back(*event);
        }
    }
    return events;
}

void checkWrittenAgain(const api::engine_event &event)
{
    const std::vector<std::string> written = eventsOf(api::writeEngineEvent(event, "a1"), 0);
    require(written.size() == 1);
    const auto read = api::readEngineEvent(written.front());
    require(read && read->type == event.type && read->sequence == event.sequence && read->text == event.text);
    require(read->tokens == event.tokens && read->finishReason == event.finishReason);
    require(read->failure.code == event.failure.code && read->failure.outcome == event.failure.outcome);
    require(read->failure.retryAfter == event.failure.retryAfter);
}

std::vector<error_code> readEvent(std::string_view data)
{
    const auto event = api::readEngineEvent(data);
    if (!event) {
        require(event.error().outcome == verdict::ran);
        return { event.error().code };
    }
    require(event->tokens >= 0);
    checkWrittenAgain(*event);
    return {};
}

} // namespace

/// The bytes are one event's data, and also a stream that comes whole or in two parts.
std::vector<error_code> readAnyBytes(std::string_view bytes)
{
    const std::vector<std::string> whole = eventsOf(bytes, bytes.size());
    require(whole == eventsOf(bytes, bytes.size() / 2));
    for (const std::string &event : whole) {
        readEvent(event);
    }
    return readEvent(bytes);
}

} // namespace mustardtrail::fuzz
