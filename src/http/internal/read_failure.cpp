#include "http/internal/read_failure.h"

#include <boost/beast/http/error.hpp>

namespace mustardtrail::http
{

error_code codeOfReadFailure(const boost::system::error_code &failure)
{
    using parse_error = boost::beast::http::error;
    const bool isOfParser = failure.category() == make_error_code(parse_error::end_of_stream).category();
    const bool isEnd = failure == parse_error::end_of_stream || failure == parse_error::partial_message;
    return isOfParser && !isEnd ? error_code::backend_answer_invalid : error_code::backend_connection_lost;
}

} // namespace mustardtrail::http
