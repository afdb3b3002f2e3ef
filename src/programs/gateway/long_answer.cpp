#include "programs/gateway/long_answer.h"

namespace mustardtrail::gateway
{

void recordLongAnswer(gateway_context &context, const attempt_id &attempt, std::string_view server, size_t bytes)
{
    context.metrics.recordSendOutcome(std::string(answerTooLong));
    context.log.write(log_line(answerTooLong)
                          .add("request", attempt.str())
                          .add("server", server)
                          .add("bytes", static_cast<std::int64_t>(bytes))
                          .add("held", static_cast<std::int64_t>(context.answers.heldBytes()))
                          .add("most", static_cast<std::int64_t>(context.answers.limitBytes())));
}

} // namespace mustardtrail::gateway
