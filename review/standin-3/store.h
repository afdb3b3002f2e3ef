#pragma once

#include "http/server.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace mustardtrail::review
{

/// The platform's store, as far as an instance reads it: ranges, watches, and a drill that brings back an older copy.
class store
{
public:
    /// What a copy of the store holds.
    struct copy {
        std::map<std::string, std::string> items; ///< Text of each item by key.
        std::uint64_t revision = 0;
    };

    explicit store(boost::asio::any_io_executor executor);

    result<endpoint> listen(const endpoint &address);
    void put(const std::string &key, const std::string &value);
    copy makeCopy() const;
    /// While it is away, each call ends with its connection.
    void goAway();
    /// Comes back from the copy: revisions go back, watches from later ones get 410 and the era rises.
    void returnFrom(const copy &older);

private:
    struct event {
        std::uint64_t revision = 0;
        std::string text;
    };

    boost::asio::awaitable<void> serve(http::exchange &exchange);
    boost::asio::awaitable<void> serveWatch(http::exchange &exchange, std::uint64_t after, std::uint64_t waitMs);
    http::response_message answer(int status, std::string body) const;
    std::string listText() const;

    std::map<std::string, std::string> m_items;
    std::vector<event> m_history;
    std::uint64_t m_revision = 10;
    std::uint64_t m_oldest = 0; ///< Watches from an earlier revision are not possible.
    std::uint64_t m_era = 1;
    bool m_isAway = false;
    http::server m_server;
};

} // namespace mustardtrail::review
