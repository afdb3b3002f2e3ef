#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

#include <array>

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

const std::string signature = "Attempt-Id: a1\r\nResponse-Stamp: stamp\r\n";
const std::string head = "HTTP/1.1 200 OK\r\nConnection: close\r\n" + signature;
const std::string unframedHead = "HTTP/1.1 200 OK\r\n" + signature + "\r\n";
const std::string firstEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
const std::string lastEvent = "id: 3\ndata: c\n\n";
const std::string wholeStream = "200 " + firstEvents + lastEvent;

int sends = 0;

struct config_change {
    std::string name;
    std::string config;
    std::string answerAfterIt; ///< What a request to /once/ gets that is read after the change.
};

std::string replaced(std::string text, const std::string &from, const std::string &to)
{
    for (size_t at = text.find(from); at != std::string::npos; at = text.find(from, at + to.size())) {
        text.replace(at, from.size(), to);
    }
    return text;
}

/// Version 2 of the first configuration, with a route of its own that shows when it is in force.
std::string secondConfig()
{
    const std::string route = R"({"name":"new","host":"h.example","path_prefix":"/new/","kind":"idempotent","timeout_ms":2000,)"
                              R"("target_latency_ms":100,"service":"fresh","max_attempts":1,"public":true},)";
    const std::string text = replaced(fake_platform::firstConfig(), R"("version":1)", R"("version":2)");
    return replaced(text, R"("routes":[)", R"("routes":[)" + route);
}

std::string withoutRoutes(std::string text)
{
    for (const std::string name : { "stream", "once", "again", "queue" }) {
        text = replaced(text, "/" + name + "/", "/other-" + name + "/");
    }
    return text;
}

std::string withOtherServices(std::string text)
{
    for (const std::string name : { "reading", "desk", "batch" }) {
        text = replaced(text, R"("service":")" + name, R"("service":"other)");
        text = replaced(text, R"("name":")" + name, R"("name":"other-)" + name);
    }
    return text;
}

std::vector<config_change> allChanges()
{
    const std::string second = secondConfig();
    return {
        { "newer version", second, "200 whole" },
        { "route goes", withoutRoutes(second), "404" },
        { "time-out shrinks", replaced(replaced(second, R"("timeout_ms":5000)", R"("timeout_ms":100)"), ":2000,", ":100,"), "200 whole" },
        { "key goes", replaced(second, "secret", "another"), "401" },
        { "customer goes", replaced(second, R"({"name":"first","api_keys":["secret"]})", ""), "401" },
        { "service changes", withOtherServices(second), "200 other" },
    };
}

std::string requestTo(const std::string &path, const std::string &fields = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nAttempt-Id: a1\r\nDeadline-Ms: 4000\r\n"
        + "Authorization: Token secret\r\n" + fields + "Content-Length: 8\r\n\r\nquestion";
}

void putInForce(fake_platform &platform, const config_change &change)
{
    platform.publish(change.config);
    int status = 404;
    for (int attempt = 0; attempt < 100 && status == 404; ++attempt) {
        status = platform.call("/new/x").status;
    }
    expectEqual(change.name + " " + std::to_string(status), change.name + " 503");
}

void finish(fake_platform &platform, const raw_caller &caller)
{
    for (int steps = 0; steps < 600 && !caller.isClosed(); ++steps) {
        platform.runFor(milliseconds(10));
    }
}

boost::asio::awaitable<void> answerAtOnce(raw_connection &connection)
{
    co_await connection.send(head + "Content-Length: 5\r\n\r\nwhole");
}

boost::asio::awaitable<void> answerAsOther(raw_connection &connection)
{
    co_await connection.send(head + "Content-Length: 5\r\n\r\nother");
}

boost::asio::awaitable<void> pauseThenAnswer(raw_connection &connection)
{
    ++sends;
    co_await connection.pause(milliseconds(700));
    co_await answerAtOnce(connection);
}

boost::asio::awaitable<void> pauseThenStream(raw_connection &connection)
{
    ++sends;
    co_await connection.pause(milliseconds(700));
    co_await connection.send(unframedHead + firstEvents + lastEvent);
}

boost::asio::awaitable<void> pauseInStream(raw_connection &connection)
{
    ++sends;
    co_await connection.send(unframedHead + firstEvents);
    co_await connection.pause(milliseconds(700));
    co_await connection.send(lastEvent);
}

boost::asio::awaitable<void> continueAfterPause(raw_connection &connection)
{
    co_await connection.pause(milliseconds(700));
    const bool isContinuation = connection.request().find("Last-Event-Id: 2\r\n") != std::string::npos;
    const std::string events = isContinuation ? lastEvent : firstEvents + lastEvent;
    co_await connection.send(unframedHead + events);
}

boost::asio::awaitable<void> breakOffAfterPause(raw_connection &connection)
{
    co_await connection.send(unframedHead + firstEvents + "id: 3\nda");
    co_await connection.pause(milliseconds(700));
}

boost::asio::awaitable<void> breakOffAtOnce(raw_connection &connection)
{
    co_await connection.send(unframedHead + firstEvents + "id: 3\nda");
}

boost::asio::awaitable<void> firstBreaksOffLate(raw_connection &connection)
{
    return sends++ == 0 ? breakOffAfterPause(connection) : continueAfterPause(connection);
}

boost::asio::awaitable<void> firstBreaksOffAtOnce(raw_connection &connection)
{
    return sends++ == 0 ? breakOffAtOnce(connection) : continueAfterPause(connection);
}

boost::asio::awaitable<void> closeAfterPause(raw_connection &connection)
{
    co_await connection.pause(milliseconds(300));
}

boost::asio::awaitable<void> firstAnswersNothing(raw_connection &connection)
{
    return sends++ == 0 ? closeAfterPause(connection) : answerAtOnce(connection);
}

/// Longer than any stall time-out.
constexpr milliseconds longSilence{ 1'600 };

boost::asio::awaitable<void> fallSilentInStream(raw_connection &connection)
{
    ++sends;
    co_await connection.send(unframedHead + firstEvents);
    co_await connection.pause(longSilence);
    co_await connection.send(lastEvent);
}

boost::asio::awaitable<void> fallSilentBeforeAnswer(raw_connection &connection)
{
    ++sends;
    co_await connection.pause(longSilence);
    co_await answerAtOnce(connection);
}

boost::asio::awaitable<void> refuse(raw_connection &connection)
{
    co_await connection.send(
        "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nAttempt-Id: a1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n");
}

boost::asio::awaitable<void> firstFallsSilentInStream(raw_connection &connection)
{
    return sends == 0 ? fallSilentInStream(connection) : refuse(connection);
}

boost::asio::awaitable<void> firstFallsSilentBeforeAnswer(raw_connection &connection)
{
    return sends == 0 ? fallSilentBeforeAnswer(connection) : refuse(connection);
}

/// Where a request is when the configuration changes.
struct point {
    std::string service;
    http::testing::raw_server::script serve;
    int servers = 1;
    std::string path;
    int sendsBefore = 1; ///< Sends that have arrived when the configuration changes.
    std::string answer;
};

void expectOneAnswerForEachChange(const point &at)
{
    for (const config_change &change : allChanges()) {
        sends = 0;
        fake_platform platform;
        for (int number = 1; number <= at.servers; ++number) {
            platform.addRawServer("i-" + std::to_string(number), at.service, at.serve);
        }
        platform.addRawServer("i-other", "other", answerAsOther);
        platform.start();
        const raw_caller caller = platform.openCaller(requestTo(at.path));
        platform.runFor(milliseconds(60));
        putInForce(platform, change);
        expectEqual(change.name + " " + std::to_string(sends), change.name + " " + std::to_string(at.sendsBefore));
        finish(platform, caller);
        expectEqual(change.name + ": " + caller.onlyAnswer(), change.name + ": " + at.answer);
    }
}

std::string statusOf(const std::string &answer)
{
    return answer.substr(0, 3);
}

} // namespace

Test(config_change, beforeTheBodyIsWhole)
{
    for (const config_change &change : allChanges()) {
        fake_platform platform;
        platform.addRawServer("i-1", "desk", answerAtOnce);
        platform.addRawServer("i-other", "other", answerAsOther);
        platform.start();
        const std::string request = requestTo("/once/x");
        const size_t half = request.size() - 4;
        raw_caller caller = platform.openCaller(request.substr(0, half));
        platform.runFor(milliseconds(60));
        putInForce(platform, change);
        cr_assert_not(caller.isClosed());
        caller.send(request.substr(half));
        finish(platform, caller);
        const bool isRefused = change.answerAfterIt.size() == 3;
        const std::string answer = isRefused ? statusOf(caller.onlyAnswer()) : caller.onlyAnswer();
        expectEqual(change.name + ": " + answer, change.name + ": " + change.answerAfterIt);
    }
}

Test(config_change, whileARequestWaitsForAServer)
{
    for (const config_change &change : allChanges()) {
        sends = 0;
        fake_platform platform;
        platform.addRawServer("i-1", "batch", pauseInStream);
        platform.addRawServer("i-other", "other", answerAsOther);
        platform.start();
        const std::string request = requestTo("/queue/x", "Model: m\r\nToken-Counts: 600,100\r\n");
        const raw_caller running = platform.openCaller(request);
        platform.runFor(milliseconds(60));
        const raw_caller waiting = platform.openCaller(request);
        platform.runFor(milliseconds(60));
        putInForce(platform, change);
        expectEqual(change.name + " " + std::to_string(sends), change.name + " 1");
        finish(platform, running);
        finish(platform, waiting);
        expectEqual(change.name + ": " + running.onlyAnswer(), change.name + ": " + wholeStream);
        expectEqual(change.name + ": " + waiting.onlyAnswer(), change.name + ": " + wholeStream);
        expectEqual(change.name + " " + std::to_string(sends), change.name + " 2");
    }
}

Test(config_change, atAServerBeforeTheHead)
{
    expectOneAnswerForEachChange({ "desk", pauseThenAnswer, 1, "/once/x", 1, "200 whole" });
}

Test(config_change, atAServerBeforeTheHeadOfAStream)
{
    expectOneAnswerForEachChange({ "reading", pauseThenStream, 1, "/stream/x", 1, wholeStream });
}

Test(config_change, inTheMiddleOfAStream)
{
    expectOneAnswerForEachChange({ "reading", pauseInStream, 1, "/stream/x", 1, wholeStream });
}

Test(config_change, inAStreamThatIsContinuedAfterIt)
{
    expectOneAnswerForEachChange({ "reading", firstBreaksOffLate, 2, "/stream/x", 1, wholeStream });
}

Test(config_change, whileAStreamIsContinued)
{
    expectOneAnswerForEachChange({ "reading", firstBreaksOffAtOnce, 2, "/stream/x", 2, wholeStream });
}

Test(config_change, beforeAPlainRequestIsSentAgain)
{
    expectOneAnswerForEachChange({ "desk", firstAnswersNothing, 2, "/again/x", 1, "200 whole" });
}

Test(config_change, whileTheOnlyServerOfAStreamIsSilent)
{
    expectOneAnswerForEachChange({ "reading", fallSilentInStream, 1, "/stream/x", 1, wholeStream });
}

Test(config_change, whileAStreamIsSilentAndTheOtherServerRefuses)
{
    expectOneAnswerForEachChange({ "reading", firstFallsSilentInStream, 2, "/stream/x", 1, wholeStream });
}

Test(config_change, whileTheServerOfARequestThatRunsOnceIsSilent)
{
    expectOneAnswerForEachChange({ "desk", fallSilentBeforeAnswer, 2, "/once/x", 1, "200 whole" });
}

Test(config_change, whileTheServerOfARequestIsSilentAndTheOtherServerRefuses)
{
    expectOneAnswerForEachChange({ "desk", firstFallsSilentBeforeAnswer, 2, "/again/x", 1, "200 whole" });
}

// A key that was taken away after the first restore of a store that counts from 0 was served for good: the revision of the change was
// known already.
Test(config_change, isInForceAfterTheFirstRestoreOfTheStore)
{
    for (const unsigned firstEra : { 0U, 1U }) {
        fake_platform platform;
        platform.addRawServer("i-1", "desk", answerAtOnce);
        platform.setFirstEra(firstEra);
        platform.start();
        expectEqual(platform.call("/once/x").status, 200);
        platform.restoreStoreWithoutServers();
        platform.publish(withoutRoutes(secondConfig()));
        platform.runFor(milliseconds(2'000));
        expectEqual(platform.call("/once/x").status, 404);
    }
}

// An instance that had missed many large configurations read none of them until the store had dropped its history.
Test(config_change, isInForceThoughTheChangesBeforeItAreTooLargeToRead)
{
    fake_platform platform;
    platform.addRawServer("i-1", "desk", answerAtOnce);
    platform.start();
    expectEqual(platform.call("/once/x").status, 200);
    platform.writeSupersededValues(9);
    platform.publish(withoutRoutes(secondConfig()));
    platform.runFor(milliseconds(2'000));
    expectEqual(platform.call("/once/x").status, 404);
}
