#pragma once

namespace mustardtrail::ctl
{

/// Exit codes of mustardtrail-ctl; operators' scripts rely on them.
enum class exit_code : int {
    ok = 0,
    problems = 1, ///< A configuration or a request is refused, or a preview shows what cannot be met.
    usage = 2,
    unreadable = 3,
};

} // namespace mustardtrail::ctl
