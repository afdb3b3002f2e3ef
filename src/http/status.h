#pragma once

/// HTTP status codes that the programs send or check.
namespace mustardtrail::http
{

constexpr int statusOk = 200;
constexpr int statusBadRequest = 400;
constexpr int statusNotFound = 404;
constexpr int statusConflict = 409;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;

} // namespace mustardtrail::http
