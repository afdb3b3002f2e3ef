#include "programs/gateway/relayed_answer.h"

#include "programs/gateway/relay_fields.h"

namespace mustardtrail::gateway
{

relayed_answer::relayed_answer(std::unique_ptr<http::response_stream> answer)
    : m_answer(std::move(answer))
    , m_endsWithConnection(m_answer->headers().find(relay_field::body) == relay_field::endsWithConnection)
    , m_isOnReusedConnection(m_answer->headers().find(relay_field::connection) != relay_field::isNew)
{
    m_headers = m_answer->headers();
    for (const std::string_view field : { relay_field::outcome, relay_field::body, relay_field::connection }) {
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

bool relayed_answer::isOnReusedConnection() const
{
    return m_isOnReusedConnection;
}

boost::asio::awaitable<result<std::string>> relayed_answer::read()
{
    return m_answer->read();
}

void relayed_answer::close()
{
    m_answer->close();
}

} // namespace mustardtrail::gateway
