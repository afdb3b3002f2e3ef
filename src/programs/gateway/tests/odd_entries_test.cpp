#include "programs/gateway/tests/fake_platform.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway::testing;
using http::testing::raw_connection;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace
{

std::string lastRequest;

boost::asio::awaitable<void> answerAtOnce(raw_connection &connection)
{
    lastRequest = connection.request();
    co_await connection.send(
        "HTTP/1.1 200 OK\r\nConnection: close\r\nAttempt-Id: a1\r\nResponse-Stamp: stamp\r\nContent-Length: 5\r\n\r\nwhole");
}

const endpoint nowhere{ "127.0.0.1", 9 };

std::string withAddress(const std::string &address)
{
    return R"({"service":"desk","address":")" + address + R"(","zone":"dc","slots":4,"state":"ready"})";
}

/// Items that the store may hold beside sound ones.
std::vector<std::string> oddItems()
{
    const std::string deep = std::string(100'000, '[') + std::string(100'000, ']');
    std::vector<std::string> items{
        "7",
        "null",
        "[]",
        R"({"value":"","revision":REVISION})",
        R"({"key":7,"value":"","revision":REVISION})",
        R"({"key":"servers/odd","value":"?*","revision":REVISION})",
        R"({"key":"servers/odd","value":[],"revision":REVISION})",
        R"({"key":"servers/odd","value":"e30","revision":REVISION})",
        "{\"key\":\"servers/\xff\xfe\",\"value\":\"\",\"revision\":REVISION}",
        R"({"key":"servers/\udcff\ud800","value":"","revision":REVISION})",
        fake_platform::itemOf("servers/odd", deep),
        fake_platform::itemOf("servers/odd", R"({"a":)" + deep + "}"),
        fake_platform::itemOf("servers/odd", "\xff\xfe"),
        fake_platform::itemOf("servers/odd", fake_platform::entryOf("unknown", nowhere)),
    };
    for (const char *address :
        { "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:-1", "127.0.0.1:http", "127.0.0.1:", "127.0.0.1", "nowhere:80" }) {
        items.push_back(fake_platform::itemOf("servers/odd", withAddress(address)));
    }
    return items;
}

void expectServed(fake_platform &platform, const std::string &path, const std::string &item)
{
    for (int attempt = 0; attempt < 100 && platform.call(path).status != 200; ++attempt) {
        platform.runFor(milliseconds(10));
    }
    expectEqual(item.substr(0, 100) + ": " + platform.call(path).body, item.substr(0, 100) + ": whole");
}

void expectNotServed(fake_platform &platform, const std::string &path, const std::string &item)
{
    for (int attempt = 0; attempt < 100 && platform.call(path).status == 200; ++attempt) {
        platform.runFor(milliseconds(10));
    }
    expectEqual(item.substr(0, 100) + ": " + std::to_string(platform.call(path).status), item.substr(0, 100) + ": 503");
}

} // namespace

// Otherwise an instance that starts never becomes ready while the item exists.
Test(odd_entries, besideSoundOnesInTheFirstList)
{
    for (const std::string &item : oddItems()) {
        fake_platform platform;
        platform.addRawServer("i-1", "desk", answerAtOnce);
        platform.writeItems({ item });
        platform.start();
        expectEqual(item.substr(0, 100) + ": " + platform.call("/once/x").body, item.substr(0, 100) + ": whole");
    }
}

// Otherwise the instances stop following the list.
Test(odd_entries, besideSoundOnesInAWatch)
{
    for (const std::string &item : oddItems()) {
        fake_platform platform;
        http::testing::raw_server late(platform.executor(), answerAtOnce);
        platform.start();
        const std::string sound = fake_platform::itemOf("servers/i-1", fake_platform::entryOf("desk", late.address()));
        platform.writeItems({ item, sound });
        expectServed(platform, "/once/x", item);
        platform.writeItems({ R"({"key":"servers/i-1","removed":true,"revision":REVISION})" });
        expectNotServed(platform, "/once/x", item);
        platform.writeItems({ sound });
        expectServed(platform, "/once/x", item);
    }
}

// One instance reads the store for both.
Test(odd_entries, besideSoundOnesAtAnotherInstance)
{
    fake_platform platform;
    http::testing::raw_server late(platform.executor(), answerAtOnce);
    platform.start();
    platform.startSecondInstance();
    std::vector<std::string> items = oddItems();
    items.push_back(fake_platform::itemOf("servers/i-1", fake_platform::entryOf("desk", late.address())));
    platform.writeItems(items);
    expectServed(platform, "/once/x", "all");
    platform.callSecondInstance();
    expectServed(platform, "/once/x", "all");
}

// Such an entry names no engine to use, whatever its key named before.
Test(odd_entries, aSoundEntryThatTurnsOddNamesNoEngine)
{
    for (const std::string &entry :
        { std::string("{"), std::string(), fake_platform::entryOf("desk", nowhere, R"(,"cold_left_ms":1e300)") }) {
        fake_platform platform;
        http::testing::raw_server server(platform.executor(), answerAtOnce);
        const std::string sound = fake_platform::itemOf("servers/i-1", fake_platform::entryOf("desk", server.address()));
        platform.writeItems({ sound });
        platform.start();
        expectServed(platform, "/once/x", "sound");
        platform.writeItems({ fake_platform::itemOf("servers/i-1", entry) });
        expectNotServed(platform, "/once/x", entry);
        platform.writeItems({ sound });
        expectServed(platform, "/once/x", "sound again");
    }
}

// The id of a server goes into a header of each request to it.
Test(odd_entries, anIdWithALineBreakAddsNoHeader)
{
    fake_platform platform;
    http::testing::raw_server server(platform.executor(), answerAtOnce);
    platform.writeItems({ fake_platform::itemOf(R"(servers/i-1\r\nTenant: other)", fake_platform::entryOf("desk", server.address())) });
    platform.start();
    lastRequest.clear();
    const caller_answer answer = platform.call("/once/x");
    cr_assert(lastRequest.find("Tenant: other") == std::string::npos, "%s", lastRequest.c_str());
    expectEqual(answer.status, 503);
}
