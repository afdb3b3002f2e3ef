#include "membership/fleet_view.h"
#include "node/tests/trace.h"

namespace mustardtrail::node::testing
{

namespace
{

constexpr std::chrono::milliseconds timerSlack{ 2 };
constexpr std::chrono::milliseconds drainSlack{ 1000 };

using lines = std::vector<std::string>;

void checkAnswer(const request_id &id, const traced_request &request, lines &out)
{
    if (request.expected.compare(0, request.delivered.size(), request.delivered) != 0) {
        out.push_back("text: " + id.str() + " got '" + request.delivered + "'");
    }
    if (request.finals.size() > 1) {
        out.push_back("finals: " + id.str() + " has " + std::to_string(request.finals.size()));
    }
    if (request.finals.empty()) {
        if (!request.excused) {
            out.push_back("lost: " + id.str());
        }
        return;
    }
    const final_answer &answer = request.finals.front();
    if (!answer.failure && request.delivered != request.expected) {
        out.push_back("whole: " + id.str() + " got '" + request.delivered + "'");
    }
    if (!request.excused && answer.at > request.deadline + timerSlack) {
        const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(answer.at - request.deadline);
        out.push_back("late: " + id.str() + " by ms=" + std::to_string(late.count()));
    }
}

void checkRuns(const session_trace &trace, lines &out)
{
    std::map<std::string, int> once;
    std::map<request_id, int> startedRuns;
    for (const traced_run &run : trace.runs) {
        const traced_request &request = trace.requests.at(run.request);
        startedRuns[run.request] += run.started ? 1 : 0;
        if (!request.repeatable && run.started && ++once[request.key.empty() ? run.request.str() : request.key] == 2) {
            out.push_back("twice: " + run.request.str() + " key=" + request.key + " at " + run.backend.str());
        }
        const auto drained = trace.drainedAt.find(run.dataCentre);
        if (drained != trace.drainedAt.end() && run.began > drained->second + membership::viewLease + drainSlack) {
            out.push_back("drained: " + run.request.str() + " at " + run.backend.str());
        }
    }
    for (const auto &[id, request] : trace.requests) {
        const bool saysNotRun
            = !request.finals.empty() && request.finals.front().failure && request.finals.front().failure->outcome == verdict::not_run;
        if (saysNotRun && startedRuns[id] > 0) {
            out.push_back("not_run: " + id.str() + " ran; " + request.finals.front().failure->detail);
        }
    }
}

} // namespace

std::vector<std::string> violations(const session_trace &trace)
{
    lines out;
    for (const auto &[id, request] : trace.requests) {
        checkAnswer(id, request, out);
    }
    checkRuns(trace, out);
    for (const std::string &overload : trace.overloads) {
        out.push_back("overload: " + overload);
    }
    for (const std::string &send : trace.staleSends) {
        out.push_back("lease: " + send);
    }
    for (const auto &[backend, tokens] : trace.heldAtEnd) {
        if (tokens != 0) {
            out.push_back("memory: " + backend + " holds " + std::to_string(tokens));
        }
    }
    return out;
}

} // namespace mustardtrail::node::testing
