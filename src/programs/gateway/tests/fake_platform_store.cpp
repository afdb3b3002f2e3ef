#include "programs/gateway/tests/fake_platform.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/detail/base64.hpp>

namespace mustardtrail::gateway::testing
{

namespace asio = boost::asio;
using std::chrono::milliseconds;

namespace
{

std::string base64(const std::string &text)
{
    namespace codec = boost::beast::detail::base64;
    std::string encoded(codec::encoded_size(text.size()), '\0');
    encoded.resize(codec::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

std::string storeItem(const std::string &key, const std::string &value, unsigned revision = 5)
{
    return R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)" + std::to_string(revision) + "}";
}

} // namespace

void fake_platform::addServerAt(const std::string &id, const std::string &service, const endpoint &address)
{
    m_serverAddresses.insert(address);
    m_serverItems += "," + storeItem("servers/" + id, entryOf(service, address));
}

std::string fake_platform::itemOf(const std::string &key, const std::string &value)
{
    return R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":REVISION})";
}

std::string fake_platform::entryOf(const std::string &service, const endpoint &address, const std::string &fields)
{
    return R"({"service":")" + service + R"(","address":")" + toString(address) + R"(","zone":"dc","slots":4,"state":"ready")" + fields
        + "}";
}

void fake_platform::writeItems(const std::vector<std::string> &items)
{
    constexpr std::string_view placeholder = "REVISION";
    ++m_revision;
    for (std::string item : items) {
        if (const size_t at = item.find(placeholder); at != std::string::npos) {
            item.replace(at, placeholder.size(), std::to_string(m_revision));
        }
        m_writtenItems.emplace_back(m_revision, std::move(item));
    }
}

void fake_platform::writeSupersededValues(size_t megabytes)
{
    m_superseded = { ++m_revision, megabytes };
}

void fake_platform::callSecondInstance()
{
    m_callerAddress = m_secondCallerAddress;
}

asio::awaitable<void> fake_platform::serveStore(http::exchange &exchange)
{
    constexpr int maxWaits = 10;
    const bool isList = exchange.request().path() == "/api/kv-range";
    const std::string after(exchange.request().query("after"));
    const auto isAfter = [isAll = isList || after.empty(), after](unsigned revision) {
        return isAll || revision > std::stoul(after);
    };
    const auto isNew = [this, &isAfter] {
        return isAfter(m_configRevision) || isAfter(m_superseded.first)
            || (!m_writtenItems.empty() && isAfter(m_writtenItems.back().first));
    };
    for (int waits = 0; !isList && !m_isStoreDown && !isNew() && waits < maxWaits; ++waits) {
        asio::steady_timer wait(exchange.executor(), milliseconds(10));
        co_await wait.async_wait(asio::use_awaitable);
    }
    http::response_message answer;
    std::string items;
    for (size_t count = 0; !isList && isAfter(m_superseded.first) && count < m_superseded.second; ++count) {
        items += storeItem("op/other", std::string(1'000'000, 'x'), m_superseded.first) + ",";
    }
    for (const auto &[writtenAt, item] : m_writtenItems) {
        items += isAfter(writtenAt) ? item + "," : "";
    }
    items += isAfter(m_configRevision) ? storeItem("op/config", m_config, m_configRevision) : "";
    items += isList ? m_serverItems : "";
    if (items.ends_with(',')) {
        items.pop_back();
    }
    const std::string revision = R"("store_revision":)" + std::to_string(m_revision) + "}";
    answer.body = isList ? R"({"items":[)" + items + R"(],"has_more":false,)" + revision : R"({"events":[)" + items + "]," + revision;
    answer.headers.add("Store-Era", std::to_string(m_era));
    answer.status = m_isStoreDown ? 503 : 200;
    m_immediateAnswers += !isList && !m_isStoreDown && exchange.request().query("wait_ms") == "0" ? 1 : 0;
    co_await exchange.respond(std::move(answer));
}

void fake_platform::restoreStoreWithoutServers()
{
    ++m_era;
    m_revision = 6;
    m_serverItems.clear();
}

void fake_platform::setFirstEra(unsigned era)
{
    m_era = era;
}

void fake_platform::publish(const std::string &config)
{
    m_config = config;
    m_configRevision = ++m_revision;
}

void fake_platform::stopStore()
{
    m_isStoreDown = true;
}

void fake_platform::restartStore()
{
    m_isStoreDown = false;
}

int fake_platform::immediateAnswers() const
{
    return m_immediateAnswers;
}

} // namespace mustardtrail::gateway::testing
