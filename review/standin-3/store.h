#pragma once

#include "http/server.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::review
{

/// The platform's store, as far as an instance reads it: ranges and watches.
class store
{
public:
    explicit store(boost::asio::any_io_executor executor);

    result<endpoint> listen(const endpoint &address);
    void put(const std::string &key, const std::string &value);
    void remove(const std::string &key);
    /// While it is set, a watch that has waited for this long is cut. All other calls are answered as usual.
    void setWatchLimit(std::optional<std::chrono::milliseconds> limit);
    /// Watches that were cut.
    unsigned cutWatches() const;

private:
    struct event {
        std::uint64_t revision = 0;
        std::string text;
    };

    boost::asio::awaitable<void> serve(http::exchange &exchange);
    boost::asio::awaitable<void> serveWatch(http::exchange &exchange, std::uint64_t after, std::uint64_t waitMs);
    std::string listText() const;

    std::map<std::string, std::string> m_items;
    std::vector<event> m_history;
    std::uint64_t m_revision = 10;
    std::optional<std::chrono::milliseconds> m_watchLimit;
    unsigned m_cutWatches = 0;
    http::server m_server;
};

} // namespace mustardtrail::review
