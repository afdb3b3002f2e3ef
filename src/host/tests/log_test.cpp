#include "host/log.h"

#include "testing/expect.h"

#include <algorithm>

#include <fcntl.h>
#include <unistd.h>

using namespace mustardtrail;
using namespace mustardtrail::host;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr int lines = 2'000;

/// Redirects standard output to a pipe; returns its read end.
int redirectOutputToPipe()
{
    int ends[2] = { 0, 0 };
    cr_assert_eq(::pipe(ends), 0);
    cr_assert_geq(::dup2(ends[1], STDOUT_FILENO), 0);
    return ends[0];
}

std::string readAvailable(int descriptor)
{
    ::fcntl(descriptor, F_SETFL, O_NONBLOCK);
    std::string text;
    char buffer[4'096];
    for (ssize_t count = 0; (count = ::read(descriptor, buffer, sizeof buffer)) > 0;) {
        text.append(buffer, static_cast<size_t>(count));
    }
    return text;
}

} // namespace

Test(log, dropsLinesInsteadOfBlockingWhenTheReaderIsStuck, .timeout = 20)
{
    const int reader = redirectOutputToPipe();
    openLog(log_level::info, "test");
    const std::string detail(200, 'x');
    for (int index = 0; index < lines; ++index) {
        log(log_level::info, log_line("event").add("number", index).add("detail", detail));
    }
    const std::uint64_t dropped = droppedLogLines();
    cr_assert_gt(dropped, 0U);
    const std::string text = readAvailable(reader);
    const auto written = static_cast<std::uint64_t>(std::count(text.begin(), text.end(), '\n'));
    expectEqual(written + dropped, static_cast<std::uint64_t>(lines));
}

Test(log, writesAgainOnceTheReaderReads, .timeout = 20)
{
    const int reader = redirectOutputToPipe();
    openLog(log_level::info, "test");
    const std::string detail(200, 'x');
    for (int index = 0; index < lines; ++index) {
        log(log_level::info, log_line("event").add("detail", detail));
    }
    readAvailable(reader);
    log(log_level::info, log_line("after"));
    const std::string text = readAvailable(reader);
    cr_assert(text.find("event=after") != std::string::npos);
}

Test(log, truncatesLinesThatDoNotFitOneWrite, .timeout = 20)
{
    const int reader = redirectOutputToPipe();
    openLog(log_level::info, "test");
    log(log_level::info, log_line("event").add("detail", std::string(10'000, 'x')));
    const std::string text = readAvailable(reader);
    expectEqual(text.size(), 4'096U);
    cr_assert_eq(text.back(), '\n');
}
