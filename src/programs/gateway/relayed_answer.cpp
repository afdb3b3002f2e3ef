#include "programs/gateway/relayed_answer.h"

#include "programs/gateway/relay_fields.h"

namespace mustardtrail::gateway
{

relayed_answer::relayed_answer(std::unique_ptr<http::response_stream> answer, std::function<void()> onRelayLost)
    : m_answer(std::move(answer))
    , m_onRelayLost(std::move(onRelayLost))
    , m_endsWithConnection(m_answer->headers().find(relay_field::body) == relay_field::endsWithConnection)
    , m_isOnReusedConnection(m_answer->headers().find(relay_field::connection) != relay_field::isNew)
    , m_isEndMarked(m_answer->headers().find(relay_field::end) == relay_field::isMarked)
{
    m_headers = m_answer->headers();
    for (const std::string_view field : { relay_field::outcome, relay_field::body, relay_field::connection, relay_field::end }) {
        m_headers = withoutFirst(field, m_headers);
    }
}

int relayed_answer::status() const
{
    return m_answer->status();
}

const http::header_list &relayed_answer::headers() const
{
    return m_headers;
}

bool relayed_answer::endsWithConnection() const
{
    return m_endsWithConnection;
}

std::string_view relayed_answer::trailer(std::string_view) const
{
    return {}; // Servers' trailers are not relayed.
}

bool relayed_answer::isOnReusedConnection() const
{
    return m_isOnReusedConnection;
}

boost::asio::awaitable<result<std::string>> relayed_answer::read()
{
    auto bytes = co_await m_answer->read();
    if (!bytes && m_isEndMarked && bytes.error().code == error_code::backend_connection_lost) {
        bytes.error().code = error_code::peer_connection_lost;
        m_onRelayLost();
    } else if (bytes && bytes->empty() && m_isEndMarked && m_answer->trailer(relay_field::end) == relay_field::serverLost) {
        co_return tl::unexpected(error{ error_code::backend_connection_lost, verdict::may_have_run, "relay=server_lost", {} });
    }
    co_return bytes;
}

void relayed_answer::close()
{
    m_answer->close();
}

} // namespace mustardtrail::gateway
