#pragma once

#include "base/hash.h"
#include "base/ids.h"
#include "base/units.h"

#include <string>

namespace mustardtrail::request::testing
{

/// Answers of the simulated backend servers, which depend on the request id only.

inline token_count answerLength(const request_id &request, bool service)
{
    constexpr std::uint64_t longest = 7;
    return service ? 1 : 1 + static_cast<token_count>(hash64(request.str()) % longest);
}

inline std::string answerToken(const request_id &request, token_count index)
{
    return request.str() + ":" + std::to_string(index) + " ";
}

inline std::string answerOf(const request_id &request, bool service)
{
    std::string answer;
    for (token_count index = 0; index < answerLength(request, service); ++index) {
        answer += answerToken(request, index);
    }
    return answer;
}

} // namespace mustardtrail::request::testing
