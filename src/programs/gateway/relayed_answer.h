#pragma once

#include "http/client.h"

namespace mustardtrail::gateway
{

/// A backend server's answer that came through another instance, without the fields that the two instances add. Where it is cut
/// off, the end of the other instance looks like the end of the server.
class relayed_answer final : public http::response_stream
{
public:
    explicit relayed_answer(std::unique_ptr<http::response_stream> answer);

    int status() const override;
    const http::header_list &headers() const override;
    bool endsWithConnection() const override;
    bool isOnReusedConnection() const override;
    boost::asio::awaitable<result<std::string>> read() override;
    void close() override;

private:
    std::unique_ptr<http::response_stream> m_answer;
    http::header_list m_headers;
    bool m_endsWithConnection;
    bool m_isOnReusedConnection; ///< Of the relay to the server.
};

} // namespace mustardtrail::gateway
