#include "request/tests/checker.h"

#include <chrono>
#include <map>
#include <set>

namespace mustardtrail::request::testing
{

namespace
{

constexpr std::chrono::milliseconds totalTarget{ 5000 };
constexpr std::chrono::milliseconds firstTokenTarget{ 300 };

struct seen_request {
    trace_entry sent;
    std::string received;
    int finalAnswers = 0;
    int effects = 0;
    bool originDied = false;
    bool reportedNotRun = false;
};

class checker
{
public:
    std::vector<std::string> run(const std::vector<trace_entry> &trace)
    {
        for (const trace_entry &entry : trace) {
            take(entry);
        }
        for (const auto &[id, request] : m_requests) {
            checkEnd(id, request);
        }
        for (const auto &[key, count] : m_effectsOfKeys) {
            report(count > 1, key, "ran twice under one key");
        }
        return m_found;
    }

private:
    void report(bool broken, const std::string &subject, const char *rule)
    {
        if (broken) {
            m_found.push_back(subject + ": " + rule);
        }
    }

    void take(const trace_entry &entry)
    {
        seen_request &request = m_requests[entry.request];
        switch (entry.kind) {
        case trace_kind::sent:
            request.sent = entry;
            break;
        case trace_kind::output:
            takeOutput(request, entry);
            break;
        case trace_kind::completed:
            report(request.received != request.sent.text, entry.request, "completed without the whole answer");
            takeFinal(request, entry);
            break;
        case trace_kind::failed:
            request.reportedNotRun = entry.outcome == verdict::not_run;
            report(request.reportedNotRun && !request.received.empty(), entry.request, "output, then not run");
            takeFinal(request, entry);
            break;
        case trace_kind::effect:
            ++request.effects;
            m_effectsOfKeys[request.sent.key] += request.sent.key.empty() ? 0 : 1;
            break;
        case trace_kind::origin_died:
            request.originDied = true;
            break;
        }
    }

    void takeOutput(seen_request &request, const trace_entry &entry)
    {
        report(request.finalAnswers > 0, entry.request, "output after the final answer");
        const bool late = request.received.empty() && entry.at > request.sent.at + firstTokenTarget;
        report(late && request.sent.repeatable, entry.request, "first token after its target");
        request.received += entry.text;
        report(!request.sent.text.starts_with(request.received), entry.request, "text is not the answer");
    }

    void takeFinal(seen_request &request, const trace_entry &entry)
    {
        ++request.finalAnswers;
        report(entry.at > request.sent.at + totalTarget, entry.request, "final answer after the deadline");
    }

    void checkEnd(const std::string &id, const seen_request &request)
    {
        report(request.finalAnswers > 1, id, "more than one final answer");
        report(request.finalAnswers == 0 && !request.originDied, id, "no final answer");
        report(request.reportedNotRun && request.effects > 0, id, "said not run and ran");
        report(!request.sent.repeatable && request.effects > 1, id, "ran twice");
    }

    std::map<std::string, seen_request> m_requests;
    std::map<std::string, int> m_effectsOfKeys;
    std::vector<std::string> m_found;
};

} // namespace

std::vector<std::string> violations(const std::vector<trace_entry> &trace)
{
    return checker().run(trace);
}

} // namespace mustardtrail::request::testing
