#include "programs/load/answer_check.h"
#include "programs/load/quantile.h"
#include "programs/load/report.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::load;
using mustardtrail::testing::expectEqual;

namespace
{

using std::chrono::milliseconds;

gathered_answer wholeAnswer(const std::string &text)
{
    gathered_answer answer;
    answer.status = 200;
    takeEvent(answer, R"({"choices":[{"text":")" + text + R"("}]})");
    takeEvent(answer, "[DONE]");
    answer.isWhole = true;
    return answer;
}

planned_request shortRequest(size_t entry)
{
    planned_request request;
    request.entry = entry;
    request.promptTokens = 1'000;
    return request;
}

request_outcome finishedAfter(milliseconds first, milliseconds whole)
{
    request_outcome outcome;
    outcome.kind = outcome_kind::finished;
    outcome.firstToken = first;
    outcome.took = whole;
    return outcome;
}

} // namespace

Test(report, anAnswerIsFinishedOnlyWhenWholeAndRight)
{
    expectEqual(judge(wholeAnswer("abc"), "abc").kind == outcome_kind::finished, true);
    expectEqual(judge(wholeAnswer("abd"), "abc").code, std::string("answer_wrong"));
    gathered_answer cut = wholeAnswer("abc");
    cut.isWhole = false;
    expectEqual(judge(cut, "abc").code, std::string("answer_cut"));
    gathered_answer endless = wholeAnswer("abc");
    endless.sawEnd = false;
    expectEqual(judge(endless, "abc").code, std::string("answer_cut"));
}

Test(report, aRefusalNeedsItsCodeAndTheVerdictNotRun)
{
    gathered_answer answer;
    answer.status = 429;
    answer.headers.add("Mustardtrail-Verdict", "not_run");
    answer.errorBody = R"({"error":{"code":"queue_full"}})";
    expectEqual(judge(answer, "").kind == outcome_kind::refused, true);
    answer.headers = { { "Mustardtrail-Verdict", "may_have_run" } };
    expectEqual(judge(answer, "").kind == outcome_kind::failed, true);
}

Test(report, anErrorInsideTheStreamIsAFailure)
{
    gathered_answer answer = wholeAnswer("abc");
    takeEvent(answer, R"({"error":{"code":"deadline_passed"}})");
    expectEqual(judge(answer, "abc").code, std::string("deadline_passed"));
}

Test(report, quantilesAreNearestRank)
{
    std::vector<std::chrono::nanoseconds> values;
    for (int value = 100; value >= 1; --value) {
        values.emplace_back(value);
    }
    expectEqual(quantile(values, 0.5).count(), 50);
    expectEqual(quantile(values, 0.99).count(), 99);
    expectEqual(quantile(values, 1.0).count(), 100);
    expectEqual(quantile({}, 0.5).count(), 0);
}

Test(report, slowdownIsTheRatioOfTheTwoPhases)
{
    const load_phase without{ { shortRequest(0) }, { finishedAfter(milliseconds(10), milliseconds(20)) } };
    const load_phase with{ { shortRequest(0) }, { finishedAfter(milliseconds(12), milliseconds(30)) } };
    expectEqual(slowdownTable(without, with),
        std::string("| short requests | p95 without long, ms | p95 with long, ms | slowdown |\n| --- | --- | --- | --- |\n"
                    "| first token | 10.0 | 12.0 | 1.20 |\n| whole answer | 20.0 | 30.0 | 1.50 |\n"));
}

Test(report, serviceIsCountedByEntryAndCode)
{
    load_options options;
    options.entries = { { "127.0.0.1", 1 }, { "127.0.0.1", 2 } };
    request_outcome refused;
    refused.kind = outcome_kind::refused;
    refused.code = "queue_full";
    request_outcome failed;
    failed.code = "answer_cut";
    failed.verdict = "ran";
    const load_phase phase{ { shortRequest(0), shortRequest(1), shortRequest(1) },
        { finishedAfter(milliseconds(1), milliseconds(2)), refused, failed } };
    expectEqual(serviceTable(options, phase),
        std::string("| entry | finished | refused as not run, by code | failed, by code and verdict |\n| --- | --- | --- | --- |\n"
                    "| 127.0.0.1:1 | 1 | 0 | 0 |\n| 127.0.0.1:2 | 0 | queue_full 1 | answer_cut/ran 1 |\n"));
    expectEqual(allRight(phase), false);
}
