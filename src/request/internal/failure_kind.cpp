#include "request/internal/failure_kind.h"

namespace mustardtrail::request
{

namespace
{

constexpr int firstRequestCode = 3000;
constexpr int firstPlacementCode = 4000;

/// The error lies in the request itself: it fails the same way on every server.
bool isFaultOfRequest(error_code code)
{
    if (code == error_code::request_timeout || code == error_code::request_truncated) {
        return false;
    }
    const int number = static_cast<int>(code);
    return number >= firstRequestCode && number < firstPlacementCode;
}

} // namespace

bool isRetryable(error_code code)
{
    switch (code) {
    case error_code::prompt_exceeds_fleet:
    case error_code::duplicate_attempt:
    case error_code::caller_gone:
    case error_code::deadline_exceeded:
        return false;
    default:
        return !isFaultOfRequest(code);
    }
}

bool isInstanceFailure(error_code code)
{
    switch (code) {
    case error_code::peer_connect_failed:
    case error_code::peer_connection_lost:
    case error_code::peer_message_invalid:
    case error_code::not_owner:
    case error_code::instance_stopping:
    case error_code::view_not_confirmed:
        return true;
    default:
        return false;
    }
}

bool mayCallerRetry(error_code code)
{
    switch (code) {
    case error_code::prompt_exceeds_fleet:
    case error_code::duplicate_attempt:
    case error_code::caller_gone:
        return false;
    default:
        return !isFaultOfRequest(code);
    }
}

} // namespace mustardtrail::request
