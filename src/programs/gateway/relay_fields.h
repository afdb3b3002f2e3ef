#pragma once

#include "http/header_list.h"

#include <string_view>

namespace mustardtrail::gateway::relay_field
{

inline constexpr std::string_view server = "Mustardtrail-Relay-To"; ///< Address of the backend server.
inline constexpr std::string_view outcome = "Mustardtrail-Relay"; ///< In each answer of a relay.
inline constexpr std::string_view body = "Mustardtrail-Relay-Body"; ///< How the end of the server's answer was shown.
inline constexpr std::string_view connection
    = "Mustardtrail-Relay-Connection"; ///< Of the relay to the server: in a request "new" demands a new one.
inline constexpr std::string_view end
    = "Mustardtrail-Relay-End"; ///< Of a request: the sender knows the mark in the trailer; of an answer: the relay writes it.
inline constexpr std::string_view reason = "Mustardtrail-Relay-Reason"; ///< Of an answer that the request has not run.

inline constexpr std::string_view passedOn = "passed"; ///< The answer is the server's.
inline constexpr std::string_view notRun = "not_run"; ///< The relay has sent nothing to the server.
inline constexpr std::string_view mayHaveRun = "may_have_run"; ///< The server was lost before its answer.
inline constexpr std::string_view endsWithConnection = "ends_with_connection";
inline constexpr std::string_view isFramed = "framed";
inline constexpr std::string_view isNew = "new";
inline constexpr std::string_view isReused = "reused";
inline constexpr std::string_view isMarked = "marked"; ///< A cut without a mark is then the end of the relay.
inline constexpr std::string_view isUnmarked = "unmarked";
inline constexpr std::string_view serverLost = "server_lost"; ///< The mark: the server was lost within its answer.
inline constexpr std::string_view unreached = "unreached"; ///< The relay tried to connect to the server.
inline constexpr std::string_view handedBack = "handed_back"; ///< The trouble is the relay's own. An earlier release gives no reason.

} // namespace mustardtrail::gateway::relay_field

namespace mustardtrail::gateway
{

/// Returns the fields without the first one of this name: the instances put theirs first, and others of that name are not theirs.
inline http::header_list withoutFirst(std::string_view name, const http::header_list &headers)
{
    http::header_list rest;
    bool isRemoved = false;
    for (const auto &[each, value] : headers.fields()) {
        if (!isRemoved && each == name) {
            isRemoved = true;
        } else {
            rest.add(each, value);
        }
    }
    return rest;
}

} // namespace mustardtrail::gateway
