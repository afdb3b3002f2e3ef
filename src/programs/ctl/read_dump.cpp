#include "programs/ctl/read_dump.h"

#include "http/status.h"
#include "programs/ctl/fetch_answer.h"

namespace mustardtrail::ctl
{

std::optional<std::string> readDump(const std::string &address)
{
    auto answer = fetchAnswer(address, "/dump");
    return answer && answer->status == http::statusOk ? std::optional(std::move(answer->body)) : std::nullopt;
}

} // namespace mustardtrail::ctl
