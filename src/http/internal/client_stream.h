#pragma once

#include "http/internal/connection_pool.h"

#include <boost/beast/http/buffer_body.hpp>
#include <boost/beast/http/parser.hpp>

namespace mustardtrail::http
{

/// Response that is read from one connection of the client.
class client_stream final : public response_stream
{
public:
    using parser = boost::beast::http::response_parser<boost::beast::http::buffer_body>;

    client_stream(std::shared_ptr<client::connection_pool> pool,
        endpoint to,
        std::unique_ptr<client_connection> connection,
        std::unique_ptr<parser> source,
        std::chrono::milliseconds progress,
        std::function<void()> onBytes,
        bool isReusable,
        bool isOnReusedConnection);
    ~client_stream() override;

    int status() const override;
    const header_list &headers() const override;
    bool endsWithConnection() const override;
    std::string_view trailer(std::string_view name) const override;
    bool isOnReusedConnection() const override;
    boost::asio::awaitable<result<std::string>> read() override;
    void close() override;

private:
    void returnToPool();

    std::shared_ptr<client::connection_pool> m_pool;
    endpoint m_to;
    std::unique_ptr<client_connection> m_connection;
    std::unique_ptr<parser> m_source;
    std::chrono::milliseconds m_progress;
    std::function<void()> m_onBytes; ///< May be empty.
    bool m_isReusable; ///< False when the request was not sent completely.
    bool m_isOnReusedConnection;
    bool m_isConnectionReset; ///< While the request was sent.
    header_list m_headers;
    bool m_isClosed = false;
};

} // namespace mustardtrail::http
