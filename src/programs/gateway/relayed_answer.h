#pragma once

#include "http/client.h"

namespace mustardtrail::gateway
{

/// A backend server's answer that came through another instance, without the fields that the two instances add. Its
/// read() ends with `backend_connection_lost` where the server was lost, and with `peer_connection_lost` where the other instance was.
class relayed_answer final : public http::response_stream
{
public:
    /// `onRelayLost` is called when the other instance, or the connection to it, ends within the body.
    relayed_answer(std::unique_ptr<http::response_stream> answer, std::function<void()> onRelayLost);

    int status() const override;
    const http::header_list &headers() const override;
    bool endsWithConnection() const override;
    std::string_view trailer(std::string_view name) const override;
    bool isOnReusedConnection() const override;
    boost::asio::awaitable<result<std::string>> read() override;
    void close() override;

private:
    std::unique_ptr<http::response_stream> m_answer;
    std::function<void()> m_onRelayLost;
    http::header_list m_headers;
    bool m_endsWithConnection;
    bool m_isOnReusedConnection; ///< Of the relay to the server.
    bool m_isEndMarked; ///< An earlier release writes no mark, so that a cut may be the end of the server.
};

} // namespace mustardtrail::gateway
