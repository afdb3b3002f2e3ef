#pragma once

#include "gateway/crash_evidence.h"
#include "gateway/observer_losses.h"
#include "gateway/part_suspicion.h"
#include "gateway/recent_answers.h"
#include "gateway/server_sightings.h"

#include <functional>
#include <optional>
#include <set>

namespace mustardtrail::gateway
{

class crash_judgement;

/// Finds the parts of prompts that crash backend servers, and keeps requests with them away from the servers. Guards against a
/// prompt that ends every server that begins to answer it, which retries and other callers would carry from server to server.
///
/// A part is a suspect of each crash during whose start of an answer it was there, until an answer is written on it. It is
/// quarantined after several crashes in a row, each of a request that was sent after the crash before, unless another part
/// explains the crashes as well. An own part goes before the shared ones beside it, so that fewer prompts are held back.
/// Verdicts are decided again when further evidence on them comes, so that they do not depend on the order in which it came.
class prompt_quarantine
{
public:
    /// Called when a part is quarantined or released, here or by news from another instance.
    using change_hook = std::function<void(prompt_part part, bool isQuarantined)>;

    explicit prompt_quarantine(change_hook onChange = {}, peer_address self = unnamedObserver);

    /// Records that a connection to this start of the server was lost, whatever the request was that was sent at `sentAt`. What this
    /// instance saw while it lost several servers at once counts only when another instance saw it too, or when there is proof.
    void recordLostConnection(server_start_key server, time_point sentAt, time_point now);
    /// Records proof that this start of the server has ended.
    void recordEnded(server_start_key server, time_point now);
    /// Whether the instance has just lost its connections to several servers at once, as far as is known here.
    bool hasLostSeveral(peer_address instance, time_point now) const;
    /// The same of this instance.
    bool hasLostSeveral(time_point now) const;

    /// Records that the server ended while it was reading a request with these parts, or had just begun to answer it.
    void recordCrash(server_start_key server, const std::vector<prompt_part> &parts, time_point sentAt, time_point now);
    /// Records that this start of the server ran at that time: only connections to it were lost before, which is no crash.
    void recordRunning(server_start_key server, time_point at, time_point now);
    /// Records that an answer is being written on these parts.
    void recordWritten(const std::vector<prompt_part> &parts, time_point now);
    /// Returns when the next request with these parts may be tried; nullopt if none of them is quarantined.
    std::optional<time_point> quarantinedUntil(const std::vector<prompt_part> &parts) const;
    /// What the evidence says of a part now; for the log.
    part_suspicion suspicionOf(prompt_part part, time_point now) const;
    /// Whether this request may be sent to find out whether the parts still crash servers. One instance of the fleet may ask.
    bool tryTrial(const std::vector<prompt_part> &parts, time_point now);

    /// What is to be told to the other instances: evidence of at most this age, and all parts in quarantine or, for a shorter
    /// age than `newsMaxAge`, those that changed within it.
    quarantine_news news(std::chrono::milliseconds maxAge, time_point now) const;
    void merge(const quarantine_news &news, time_point now);
    void expire(time_point now);
    size_t size() const;

    static constexpr unsigned crashesRequired = 3;
    static constexpr unsigned ambiguousCrashesRequired = 6; ///< While another part explains the crashes as well.
    static constexpr std::chrono::seconds evidenceMaxAge{ 60 };
    static constexpr std::chrono::seconds firstTrialDelay{ 10 }; ///< Three times as long after a failed trial.
    static constexpr std::chrono::minutes maxTrialDelay{ 10 }; ///< After two or more failed trials.
    static constexpr std::chrono::milliseconds newsMaxAge{ 2'000 }; ///< Several periodic reports, so that a lost one is no harm.
    static constexpr std::chrono::minutes quarantineMaxAge{ 30 }; ///< Without a trial, as no request with the part came.
    static constexpr std::chrono::milliseconds settleTime{ 100 }; ///< By then the others have told what else was at a crash.
    static constexpr size_t maxCrashes = 128;
    static constexpr size_t maxPartsPerCrash = 32;
    static constexpr size_t maxCrashesInNews = 32;
    static constexpr size_t maxWrittenInNews = 1'024; ///< So that a report fits a datagram; others stay suspects for longer.
    static constexpr size_t maxQuarantined = 256;
    static constexpr size_t maxSightingsInNews = 128;
    static constexpr size_t maxLossesInNews = 256;
    static constexpr size_t maxObserversPerCrash = 4; ///< So that one whose paths were cut does not stand alone.

private:
    struct crash_record {
        crash_evidence evidence;
        time_point changedAt{};
        bool isOwn = false; ///< Seen by this instance, whose times are exact.
        bool isSettled = false; ///< Judged with what the other instances had seen of it.
    };

    struct written_record {
        time_point at{};
        time_point changedAt{}; ///< Or told again to an instance that did not know.
        bool hasReleased = false; ///< The part was in quarantine; instances that were cut off still hold it back.
    };

    struct quarantine_record {
        time_point since{}; ///< Latest crash or trial.
        unsigned failedTrials = 0;
        unsigned crashes = 0; ///< In a row, that convicted it; 0 if not known.
        time_point changedAt{};
        bool isOnTrial = false; ///< Here; other instances do not know.
    };

    using part_set = std::set<prompt_part>;

    struct verdict_change {
        prompt_part part = 0;
        std::optional<time_point> since; ///< None: the part is released.
        unsigned crashes = 0;
    };

    /// These return whether it is news that may change a verdict.
    bool addEvidence(const crash_evidence &evidence, bool isOwn, time_point now);
    bool addWritten(prompt_part part, time_point at, time_point now);
    bool addVerdict(const quarantined_part &verdict, time_point now);
    void quarantine(const quarantined_part &verdict, time_point now);
    void release(prompt_part part);
    /// Decides all verdicts that can be decided by the evidence known here, also those of before.
    void judge(time_point now);
    /// Judges again by the crashes of which all instances have now told.
    void judgeSettled(time_point now);
    std::vector<verdict_change> verdictChanges(time_point now) const;
    crash_judgement judgement(time_point now) const;
    /// Whether all crashes that the verdict is based on are known here. A trial that failed is evidence beyond them.
    static bool isDecidable(const quarantined_part &verdict, const crash_judgement &judged);
    void tellEvidenceAgain(prompt_part part, time_point now);
    bool isSuspectOf(prompt_part part, const crash_evidence &crash) const;
    bool isRefuted(const crash_record &crash) const;
    /// Whether all that observed the crash lost several servers at that moment.
    bool isDoubtful(const crash_evidence &crash) const;
    /// Returns whether an observer was added: those not in doubt go first.
    bool addObservers(crash_evidence &known, const std::set<peer_address> &observers) const;
    void dropOldestCrash();

    change_hook m_onChange;
    std::map<server_start_key, crash_record> m_crashes; ///< Also those that a sighting refutes.
    server_sightings m_sightings;
    peer_address m_self;
    observer_losses m_losses;
    std::map<prompt_part, written_record> m_written; ///< Answers that cleared a part.
    recent_answers m_ownAnswers;
    std::map<prompt_part, quarantine_record> m_quarantined;
};

} // namespace mustardtrail::gateway
