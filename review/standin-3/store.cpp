#include "store.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>

#include <charconv>

namespace mustardtrail::review
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds answerTime{ 4 }; // As the sheet says.
constexpr milliseconds pollInterval{ 5 };

std::string encodeBase64(const std::string &text)
{
    namespace codec = boost::beast::detail::base64;
    std::string encoded(codec::encoded_size(text.size()), '\0');
    encoded.resize(codec::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

std::uint64_t numberFrom(const std::string &text)
{
    std::uint64_t number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

http::response_message badRequest(int status, int, std::string_view)
{
    return http::makeResponse(status, "{}", "application/json");
}

} // namespace

store::store(asio::any_io_executor executor)
    : m_server(
        std::move(executor),
        {},
        [this](http::exchange &exchange) {
            return serve(exchange);
        },
        badRequest)
{
}

result<endpoint> store::listen(const endpoint &address)
{
    return m_server.listen(address);
}

void store::put(const std::string &key, const std::string &value)
{
    ++m_revision;
    const std::string number = std::to_string(m_revision);
    const std::string text = R"({"key":")" + key + R"(","value":")" + encodeBase64(value) + R"(","revision":)" + number + R"(,"created":)"
        + number + R"(,"lease":0})";
    m_items[key] = text;
    m_history.push_back({ m_revision, text });
}

void store::remove(const std::string &key)
{
    m_items.erase(key);
    ++m_revision;
    m_history.push_back({ m_revision, R"({"key":")" + key + R"(","revision":)" + std::to_string(m_revision) + R"(,"removed":true})" });
}

void store::setWatchLimit(std::optional<milliseconds> limit)
{
    m_watchLimit = limit;
}

unsigned store::cutWatches() const
{
    return m_cutWatches;
}

std::string store::listText() const
{
    std::string items;
    for (const auto &[key, text] : m_items) {
        items += (items.empty() ? "" : ",") + text;
    }
    return R"({"items":[)" + items + R"(],"has_more":false,"store_revision":)" + std::to_string(m_revision) + "}";
}

asio::awaitable<void> store::serve(http::exchange &exchange)
{
    const http::request_message &request = exchange.request();
    asio::steady_timer timer(exchange.executor(), answerTime);
    co_await timer.async_wait(asio::use_awaitable);
    if (request.path() == "/api/kv-watch") {
        co_await serveWatch(exchange, numberFrom(request.query("after")), numberFrom(request.query("wait_ms")));
        co_return;
    }
    auto list = http::makeResponse(200, listText(), "application/json");
    co_await exchange.respond(std::move(list));
}

asio::awaitable<void> store::serveWatch(http::exchange &exchange, std::uint64_t after, std::uint64_t waitMs)
{
    asio::steady_timer timer(exchange.executor());
    const auto begin = std::chrono::steady_clock::now();
    while (m_revision <= after && std::chrono::steady_clock::now() < begin + milliseconds(waitMs)) {
        if (m_watchLimit && std::chrono::steady_clock::now() > begin + *m_watchLimit) {
            ++m_cutWatches;
            co_return; // Without an answer the connection ends.
        }
        timer.expires_after(pollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    std::string events;
    for (const event &each : m_history) {
        if (each.revision > after) {
            events += (events.empty() ? "" : ",") + each.text;
        }
    }
    auto changes = http::makeResponse(
        200, R"({"events":[)" + events + R"(],"store_revision":)" + std::to_string(m_revision) + "}", "application/json");
    co_await exchange.respond(std::move(changes));
}

} // namespace mustardtrail::review
