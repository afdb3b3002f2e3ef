#pragma once

#include "gateway/crash_evidence.h"
#include "gateway/part_suspicion.h"
#include "gateway/prompt_quarantine.h"

#include <bitset>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace mustardtrail::gateway
{

/// Finds the parts of prompts that are responsible for crashes. A function of the evidence: neither the order nor the moment in
/// which an instance heard of the crashes matters.
class crash_judgement
{
public:
    struct known_crash {
        const crash_evidence *evidence = nullptr;
        bool isOwn = false; ///< Seen by this instance, whose times are exact.
        bool isSettled = false; ///< All instances have told what else was there; until then any part may have been.
    };

    struct guilt_verdict {
        time_point since{}; ///< Of the latest crash that the part is held responsible for.
        unsigned crashes = 0; ///< In a row, that convicted it.
    };

    using part_set = std::set<prompt_part>;
    /// Whether no answer has cleared the part of this crash.
    using suspect_check = std::function<bool(prompt_part part, const crash_evidence &crash)>;

    crash_judgement(std::vector<known_crash> crashes, const suspect_check &isSuspect);

    /// Verdicts on the parts that are not held responsible yet, by the crashes that those which are do not explain.
    std::map<prompt_part, guilt_verdict> verdicts(const part_set &convicted) const;
    /// Crashes in a row with the part, also those of which it was cleared or that another part explains. No later evidence lowers it.
    unsigned settledCrashesInARow(prompt_part part) const;
    /// For the log.
    part_suspicion suspicionOf(prompt_part part, const part_set &convicted) const;

private:
    using crash_set = std::bitset<prompt_quarantine::maxCrashes>; ///< By the order of time.

    struct part_trace {
        prompt_part part = 0;
        crash_set present;
        crash_set suspected;
        unsigned position = 0; ///< In the prompts at the crashes, the last one.
        bool isAnsweredBefore = false; ///< In the seconds before one of them.
    };

    struct suspect {
        size_t trace = 0;
        time_point sentAt{};
    };

    /// Crashes that count in a row: of requests that were each sent after the crash before, for an own part also those that came
    /// later than one event could explain. Servers that end at one moment count once.
    struct crash_row {
        unsigned count = 0;
        time_point last{};

        void add(prompt_part part, const known_crash &crash, time_point sentAt);
    };

    /// Whether to hold this part responsible rather than the other one, where the crashes do not tell them apart.
    static bool isLikelier(const part_trace &left, const part_trace &right);
    crash_set explainedBy(const part_set &convicted) const;
    crash_row rowOf(const part_trace &trace, const crash_set &crashes) const;
    /// The part to hold responsible for crashes that convict this one: another that was at all of them may be likelier.
    size_t likeliestFor(const crash_set &crashes, size_t trace, const std::vector<crash_row> &rows) const;
    /// Whether a likelier part was at all these crashes but those of which not all instances have told yet.
    bool mayAnotherBeLikelier(const crash_set &crashes, size_t trace, const std::vector<crash_row> &rows) const;
    static size_t firstOf(const crash_set &crashes); ///< There is one.
    time_point latestOf(const crash_set &crashes) const;
    bool hasOtherExplanation(const part_trace &trace, const crash_set &crashes) const;
    const part_trace *find(prompt_part part) const;

    std::vector<known_crash> m_crashes;
    std::vector<std::vector<suspect>> m_suspects; ///< By crash, in the order in which they are judged.
    std::map<prompt_part, size_t> m_index;
    std::vector<part_trace> m_traces;
    crash_set m_unsettled;
};

} // namespace mustardtrail::gateway
