#include "gateway/load_report.h"

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
    return work;
}

void write(const store_relay &relay, wire::Relay &target)
{
    target.set_from_revision(relay.fromRevision);
    target.set_to_revision(relay.toRevision);
    target.set_settling_ms(clamped(relay.graceLeft.count()));
    if (relay.changes) {
        target.set_changes(*relay.changes);
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
    relay.fromRevision = source.from_revision();
    relay.toRevision = source.to_revision();
    relay.graceLeft = std::chrono::milliseconds(source.settling_ms());
    if (!source.changes().empty()) {
        relay.changes = source.changes();
    }
    for (const wire::Echo &echo : source.echoes()) {
        relay.echoes.push_back(
            { echo.address(), echo.incarnation(), std::chrono::microseconds(static_cast<std::int64_t>(echo.clock_us())) });
    }
    return relay;
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
    message.mutable_known()->Add(report.knownPeers.begin(), report.knownPeers.end());
    message.mutable_suspects()->Add(report.suspectedServers.begin(), report.suspectedServers.end());
    message.set_clock_us(static_cast<std::uint64_t>(report.clock.count()));
    message.set_store_revision(report.storeRevision);
    if (report.relay) {
        write(*report.relay, *message.mutable_relay());
    }
    for (const server_work &work : report.work) {
        write(work, now, *message.add_work());
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
    report.knownPeers.assign(message.known().begin(), message.known().end());
    report.clock = std::chrono::microseconds(static_cast<std::int64_t>(message.clock_us()));
    report.storeRevision = message.store_revision();
    if (message.has_relay()) {
        report.relay = read(message.relay());
    }
    for (const wire::Work &work : message.work()) {
        report.work.push_back(read(work, now));
    }
    return report;
}

} // namespace mustardtrail::gateway
