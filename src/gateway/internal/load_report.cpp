#include "gateway/load_report.h"

#include "gateway/internal/second_copy_codec.h"
#include "gateway/internal/second_send_codec.h"
#include "gateway/internal/slow_server_codec.h"
#include "gateway/internal/waiting_prompt_wire.h"

#include "load_report.pb.h"

#include <algorithm>
#include <limits>

namespace mustardtrail::gateway
{

namespace
{

constexpr std::uint32_t decodingFlag = 1;
constexpr std::uint32_t helperFlag = 2;
constexpr std::uint32_t latencySensitiveFlag = 4;
constexpr std::uint32_t splitPromptFlag = 8;

std::uint32_t clamped(std::int64_t value)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(value, 0, std::numeric_limits<std::uint32_t>::max()));
}

void write(const server_work &work, time_point now, wire::Work &target)
{
    target.set_request(work.request);
    target.set_server(work.server);
    target.set_read_us(clamped(work.prefillTime.count()));
    target.set_memory_tokens(clamped(work.memoryTokens));
    target.set_context_tokens(clamped(work.contextTokens));
    target.set_flags((work.isDecoding ? decodingFlag : 0) | (work.isHelper ? helperFlag : 0)
        | (work.isLatencySensitive ? latencySensitiveFlag : 0) | (work.isSplitPrompt ? splitPromptFlag : 0));
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - work.sentAt);
    target.set_sent_ms_ago(clamped(age.count()));
    target.set_event_gap_ms(clamped(work.eventGapTarget.count()));
}

server_work read(const wire::Work &source, time_point now)
{
    server_work work;
    work.request = source.request();
    work.server = source.server();
    work.prefillTime = std::chrono::microseconds(source.read_us());
    work.memoryTokens = source.memory_tokens();
    work.contextTokens = source.context_tokens();
    work.isDecoding = (source.flags() & decodingFlag) != 0;
    work.isHelper = (source.flags() & helperFlag) != 0;
    work.isSplitPrompt = (source.flags() & splitPromptFlag) != 0;
    work.isLatencySensitive = (source.flags() & latencySensitiveFlag) != 0;
    work.sentAt = now - std::chrono::milliseconds(source.sent_ms_ago());
    work.eventGapTarget = std::chrono::milliseconds(source.event_gap_ms());
    return work;
}

void write(const store_relay &relay, wire::Relay &target)
{
    target.set_era(relay.era);
    target.set_from_revision(relay.fromRevision);
    target.set_to_revision(relay.toRevision);
    target.set_settling_ms(clamped(relay.graceLeft.count()));
    if (relay.changes) {
        target.set_compressed_changes(*relay.changes);
    }
    for (const clock_echo &echo : relay.echoes) {
        wire::Echo &each = *target.add_echoes();
        each.set_address(echo.address);
        each.set_incarnation(echo.incarnation);
        each.set_clock_us(static_cast<std::uint64_t>(echo.clock.count()));
    }
}

store_relay read(const wire::Relay &source)
{
    store_relay relay;
    relay.era = source.era();
    relay.fromRevision = source.from_revision();
    relay.toRevision = source.to_revision();
    relay.graceLeft = std::chrono::milliseconds(source.settling_ms());
    if (!source.compressed_changes().empty()) {
        relay.changes = source.compressed_changes();
    }
    for (const wire::Echo &echo : source.echoes()) {
        relay.echoes.push_back(
            { echo.address(), echo.incarnation(), std::chrono::microseconds(static_cast<std::int64_t>(echo.clock_us())) });
    }
    return relay;
}

void write(const server_summary &summary, wire::ServerLoad &target)
{
    const server_load &load = summary.load;
    target.set_server(summary.server);
    target.set_pending_us(clamped(load.pendingPrefill.count()));
    target.set_overdue_us(clamped(load.overdue.count()));
    target.set_memory_tokens(clamped(load.memoryTokens));
    target.set_context_tokens(clamped(load.contextTokens));
    target.set_requests(load.requests);
    target.set_decoding(load.decodingRequests);
    target.set_latency_sensitive(load.latencySensitiveRequests);
    target.set_sent_last_second(load.sentLastSecond);
}

server_summary read(const wire::ServerLoad &source)
{
    server_summary summary;
    summary.server = source.server();
    summary.load.pendingPrefill = std::chrono::microseconds(source.pending_us());
    summary.load.overdue = std::chrono::microseconds(source.overdue_us());
    summary.load.memoryTokens = source.memory_tokens();
    summary.load.contextTokens = source.context_tokens();
    summary.load.requests = source.requests();
    summary.load.decodingRequests = source.decoding();
    summary.load.latencySensitiveRequests = source.latency_sensitive();
    summary.load.sentLastSecond = source.sent_last_second();
    return summary;
}

void write(const cell_summary &summary, time_point now, wire::CellSummary &target)
{
    target.set_data_centre(summary.cell.dataCentre.str());
    target.set_index(summary.cell.index);
    target.set_age_ms(clamped(std::chrono::duration_cast<std::chrono::milliseconds>(now - summary.measuredAt).count()));
    for (const server_summary &each : summary.servers) {
        write(each, *target.add_servers());
    }
    target.set_has_instances(summary.instances.has_value());
    if (summary.instances) {
        target.mutable_instances()->Add(summary.instances->begin(), summary.instances->end());
    }
}

cell_summary read(const wire::CellSummary &source, time_point now)
{
    cell_summary summary;
    summary.cell = { data_centre_id(source.data_centre()), source.index() };
    summary.measuredAt = now - std::chrono::milliseconds(source.age_ms());
    for (const wire::ServerLoad &each : source.servers()) {
        summary.servers.push_back(read(each));
    }
    if (source.has_instances()) {
        summary.instances.emplace(source.instances().begin(), source.instances().end());
    }
    return summary;
}

std::uint32_t ageOf(time_point moment, time_point now)
{
    return clamped(std::chrono::duration_cast<std::chrono::milliseconds>(now - moment).count());
}

void write(const quarantine_news &news, time_point now, wire::Report &target)
{
    for (const crash_evidence &crash : news.crashes) {
        wire::Crash &each = *target.add_crashes();
        each.set_server_start(crash.server);
        each.set_ms_ago(ageOf(crash.at, now));
        for (const peer_address observer : crash.observers) {
            each.add_observers(observer);
        }
        for (const auto &[part, sentAt] : crash.sentAt) {
            wire::CrashSuspect &suspect = *each.add_suspects();
            suspect.set_part(part);
            suspect.set_sent_ms_ago(ageOf(sentAt, now));
            const auto position = crash.positions.find(part);
            suspect.set_position(position != crash.positions.end() ? position->second : 0);
            suspect.set_answered_before(crash.answeredBefore.contains(part));
        }
    }
    for (const written_part &written : news.written) {
        wire::WrittenPart &each = *target.add_written_parts();
        each.set_part(written.part);
        each.set_ms_ago(ageOf(written.at, now));
    }
    for (const quarantined_part &part : news.quarantined) {
        wire::QuarantinedPart &each = *target.add_quarantined_parts();
        each.set_part(part.part);
        each.set_since_ms(ageOf(part.since, now));
        each.set_failed_trials(part.failedTrials);
        each.set_crashes(part.crashes);
    }
    for (const server_sighting &sighting : news.sightings) {
        wire::ServerSighting &each = *target.add_server_sightings();
        each.set_server_start(sighting.server);
        each.set_ms_ago(ageOf(sighting.at, now));
    }
    for (const observer_loss &loss : news.losses) {
        wire::ObserverLoss &each = *target.add_observer_losses();
        each.set_observer(loss.observer);
        each.set_from_ms_ago(ageOf(loss.from, now));
        each.set_length_ms(ageOf(loss.from, loss.until));
    }
}

quarantine_news readQuarantineNews(const wire::Report &source, time_point now)
{
    using std::chrono::milliseconds;
    quarantine_news news;
    for (const wire::Crash &each : source.crashes()) {
        crash_evidence crash{ each.server_start(), now - milliseconds(each.ms_ago()), {} };
        crash.observers.insert(each.observers().begin(), each.observers().end());
        for (const wire::CrashSuspect &suspect : each.suspects()) {
            crash.sentAt[suspect.part()] = now - milliseconds(suspect.sent_ms_ago());
            if (suspect.position() > 0) {
                crash.positions[suspect.part()] = suspect.position();
            }
            if (suspect.answered_before()) {
                crash.answeredBefore.insert(suspect.part());
            }
        }
        news.crashes.push_back(std::move(crash));
    }
    for (const wire::WrittenPart &each : source.written_parts()) {
        news.written.push_back({ each.part(), now - milliseconds(each.ms_ago()) });
    }
    for (const wire::QuarantinedPart &each : source.quarantined_parts()) {
        news.quarantined.push_back({ each.part(), now - milliseconds(each.since_ms()), each.failed_trials(), each.crashes() });
    }
    for (const wire::ServerSighting &each : source.server_sightings()) {
        news.sightings.push_back({ each.server_start(), now - milliseconds(each.ms_ago()) });
    }
    for (const wire::ObserverLoss &each : source.observer_losses()) {
        const time_point from = now - milliseconds(each.from_ms_ago());
        news.losses.push_back({ each.observer(), from, from + milliseconds(each.length_ms()) });
    }
    return news;
}

void write(const rate_limit_news &news, time_point now, wire::RateLimit &target)
{
    target.set_server_start(news.server);
    target.set_requests_per_second(news.requestsPerSecond);
    target.set_heard_ms_ago(ageOf(news.heardAt, now));
    for (const time_point sentAt : news.sentAt) {
        target.add_sent_ms_ago(ageOf(sentAt, now));
    }
}

rate_limit_news read(const wire::RateLimit &source, time_point now)
{
    const auto ago = [now](std::uint32_t ms) {
        return now - std::chrono::milliseconds(ms);
    };
    rate_limit_news news{ source.server_start(), source.requests_per_second(), ago(source.heard_ms_ago()), {} };
    std::transform(source.sent_ms_ago().begin(), source.sent_ms_ago().end(), std::back_inserter(news.sentAt), ago);
    return news;
}

std::vector<leaving_server_news> readLeavingServers(const wire::Report &source, time_point now)
{
    std::vector<leaving_server_news> news;
    for (int at = 0; at < source.leaving_servers_size(); ++at) {
        leaving_server_news &each = news.emplace_back();
        each.server = source.leaving_servers(at);
        if (at < source.leaving_server_ages_ms_size()) {
            each.since = now - std::chrono::milliseconds(source.leaving_server_ages_ms(at));
        }
    }
    return news;
}

// Every true position would look older than an impossible one.
void dropImpossiblePositions(load_report &report)
{
    if (!isPossible(report.storePosition)) {
        report.storePosition = {};
        report.isStorePositionDamaged = true;
    }
    if (report.relay && !isPossible({ report.relay->era, report.relay->toRevision })) {
        report.relay.reset();
        report.isStorePositionDamaged = true;
    }
}

} // namespace

std::string encodeLoadReport(const load_report &report, time_point now)
{
    wire::Report message;
    message.set_sender(report.sender.str());
    message.set_data_centre(report.dataCentre.str());
    message.set_address(report.address);
    message.set_incarnation(report.incarnation);
    message.set_sequence(report.sequence);
    message.set_leaving(report.isLeaving);
    message.mutable_suspects()->Add(report.suspectedServers.begin(), report.suspectedServers.end());
    message.set_clock_us(static_cast<std::uint64_t>(report.clock.count()));
    message.set_store_revision(report.storePosition.revision);
    message.set_store_era(report.storePosition.era);
    message.set_config_version(report.configVersion);
    for (const leaving_server_news &news : report.leavingServers) {
        message.add_leaving_servers(news.server);
        message.add_leaving_server_ages_ms(ageOf(news.since.value_or(now), now));
    }
    message.mutable_departed_servers()->Add(report.departedServers.begin(), report.departedServers.end());
    message.set_lost_server_paths(report.hasLostServerPaths);
    write(report.quarantine, now, message);
    for (const rate_limit_news &news : report.rateLimits) {
        write(news, now, *message.add_rate_limits());
    }
    for (const customer_prefill &use : report.customerUse) {
        wire::CustomerUse &each = *message.add_customer_use();
        each.set_customer(use.customer);
        each.set_prefill_ms(clamped(use.prefill.count()));
    }
    writeSlowServers(report.slowServers, now, message);
    writeSecondCopyUse(report.secondCopyUse, message);
    writeLatencyCounts(report.latencyCounts, message);
    writeSecondSendAsks(report.secondSendAsks, message);
    writeSecondSendLoans(report.secondSendLoans, message);
    if (report.relay) {
        write(*report.relay, *message.mutable_relay());
    }
    for (const server_work &work : report.work) {
        write(work, now, *message.add_work());
    }
    for (const waiting_prompt &prompt : report.waitingPrompts) {
        write(prompt, now, *message.add_waiting_prompts());
    }
    for (const cell_summary &summary : report.summaries) {
        write(summary, now, *message.add_summaries());
    }
    message.set_summaries_relayed(report.areSummariesRelayed);
    message.set_wants_instances(report.wantsInstances);
    for (const auto &[dataCentre, addresses] : report.instances) {
        wire::InstanceList &list = *message.add_instances();
        list.set_data_centre(dataCentre.str());
        list.mutable_addresses()->Add(addresses.begin(), addresses.end());
    }
    return message.SerializeAsString();
}

result<load_report> decodeLoadReport(const std::string &bytes, time_point now)
{
    wire::Report message;
    if (!message.ParseFromString(bytes)) {
        return invalidPeerField("the whole datagram");
    }
    if (message.sender().empty() || message.address() == 0) {
        return invalidPeerField("sender");
    }
    load_report report;
    report.sender = instance_id(message.sender());
    report.dataCentre = data_centre_id(message.data_centre());
    report.address = message.address();
    report.incarnation = message.incarnation();
    report.sequence = message.sequence();
    report.isLeaving = message.leaving();
    report.suspectedServers.assign(message.suspects().begin(), message.suspects().end());
    report.clock = std::chrono::microseconds(static_cast<std::int64_t>(message.clock_us()));
    report.storePosition = { message.store_era(), message.store_revision() };
    report.configVersion = message.config_version();
    report.leavingServers = readLeavingServers(message, now);
    report.departedServers.assign(message.departed_servers().begin(), message.departed_servers().end());
    report.hasLostServerPaths = message.lost_server_paths();
    report.quarantine = readQuarantineNews(message, now);
    for (const wire::RateLimit &news : message.rate_limits()) {
        report.rateLimits.push_back(read(news, now));
    }
    for (const wire::CustomerUse &use : message.customer_use()) {
        report.customerUse.push_back({ use.customer(), std::chrono::milliseconds(use.prefill_ms()) });
    }
    report.slowServers = readSlowServers(message, now);
    report.secondCopyUse = readSecondCopyUse(message);
    report.latencyCounts = readLatencyCounts(message);
    report.secondSendAsks = readSecondSendAsks(message);
    report.secondSendLoans = readSecondSendLoans(message);
    if (message.has_relay()) {
        report.relay = read(message.relay());
    }
    dropImpossiblePositions(report);
    for (const wire::Work &work : message.work()) {
        report.work.push_back(read(work, now));
    }
    for (const wire::WaitingPrompt &prompt : message.waiting_prompts()) {
        report.waitingPrompts.push_back(read(prompt, now));
    }
    for (const wire::CellSummary &summary : message.summaries()) {
        report.summaries.push_back(read(summary, now));
    }
    report.areSummariesRelayed = message.summaries_relayed();
    report.wantsInstances = message.wants_instances();
    for (const wire::InstanceList &list : message.instances()) {
        report.instances[data_centre_id(list.data_centre())].assign(list.addresses().begin(), list.addresses().end());
    }
    return report;
}

} // namespace mustardtrail::gateway
