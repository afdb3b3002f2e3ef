#include "base/log_line.h"

#include "testing/expect.h"

#include "testing/criterion.h"

using namespace mustardtrail;

Test(log_line, writesPlainValuesUnquoted)
{
    log_line line("request_finished");
    line.add("request", "r-1").add("tokens", 12).add("took", std::chrono::milliseconds(7));
    testing::expectEqual(line.str(), "event=request_finished request=r-1 tokens=12 took=7ms");
}

Test(log_line, quotesAndEscapesSpecialCharacters)
{
    log_line line("x");
    line.add("detail", "a \"b\"\n=\\").add("empty", "");
    testing::expectEqual(line.str(), "event=x detail=\"a \\\"b\\\"\\x0a=\\\\\" empty=\"\"");
}
