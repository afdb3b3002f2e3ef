#include "gateway/load_report.h"
#include "gateway/load_tracker.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

#include "load_report.pb.h"

#include <google/protobuf/descriptor.pb.h>
#include <google/protobuf/dynamic_message.h>

#include <algorithm>

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;
using std::chrono::milliseconds;

namespace protobuf = google::protobuf;

namespace
{

constexpr server_key engine = 17;
constexpr int futureField = 900; // A field number that no release uses.

/// Fields that the release before this one does not have, by message.
const std::map<std::string, std::vector<std::string>> fieldsOfThisRelease{ { "Work", { "event_gap_ms" } },
    { "Crash", { "observers" } },
    { "Report",
        { "waiting_prompts",
            "customer_use",
            "slow_servers",
            "second_copy_use",
            "latency_counts",
            "leaving_server_ages_ms",
            "observer_losses",
            "second_send_asks",
            "second_send_loans" } } };

wire::Report reportWithAllFields()
{
    load_report report;
    report.sender = instance_id("sender");
    report.address = 2;
    report.sequence = 9;
    report.suspectedServers = { 33 };
    report.leavingServers = { { 44, at(0) } };
    server_work work;
    work.request = 1;
    work.server = engine;
    work.prefillTime = milliseconds(100);
    work.memoryTokens = 1'000;
    work.eventGapTarget = milliseconds(250);
    work.sentAt = at(0);
    report.work = { work };
    wire::Report message;
    cr_assert(message.ParseFromString(encodeLoadReport(report, at(0))));
    message.add_waiting_prompts()->set_prompt_tokens(5'000);
    message.add_customer_use()->set_prefill_ms(40);
    message.add_slow_servers()->set_slowness_percent(400);
    message.add_second_copy_use()->set_request_ms(700);
    message.add_latency_counts()->add_sends(3);
    message.add_crashes()->add_observers(5);
    message.add_observer_losses()->set_observer(5);
    message.add_second_send_asks()->set_number(5);
    message.add_second_send_loans()->set_ask(5);
    return message;
}

void removeField(protobuf::DescriptorProto &message, const std::string &name)
{
    auto &fields = *message.mutable_field();
    const auto found = std::find_if(fields.begin(), fields.end(), [&](const auto &field) {
        return field.name() == name;
    });
    cr_assert(found != fields.end());
    fields.erase(found);
}

/// The schema of the release before this one.
protobuf::FileDescriptorProto previousSchema()
{
    protobuf::FileDescriptorProto schema;
    wire::Report::descriptor()->file()->CopyTo(&schema);
    for (protobuf::DescriptorProto &message : *schema.mutable_message_type()) {
        const auto added = fieldsOfThisRelease.find(message.name());
        if (added == fieldsOfThisRelease.end()) {
            continue;
        }
        for (const std::string &field : added->second) {
            removeField(message, field);
        }
    }
    return schema;
}

/// Reads the bytes as the previous release does and returns what it knows of them, encoded by it.
std::string passedThroughPreviousRelease(const std::string &bytes)
{
    protobuf::DescriptorPool pool;
    protobuf::DynamicMessageFactory factory(&pool);
    const auto *type = pool.BuildFile(previousSchema())->FindMessageTypeByName("Report");
    const std::unique_ptr<protobuf::Message> message(factory.GetPrototype(type)->New());
    cr_assert(message->ParseFromString(bytes));
    const auto added = static_cast<int>(fieldsOfThisRelease.at("Report").size());
    expectEqual(message->GetReflection()->GetUnknownFields(*message).field_count(), added);
    message->DiscardUnknownFields();
    return message->SerializeAsString();
}

load_report decoded(const std::string &bytes)
{
    const auto report = decodeLoadReport(bytes, at(0));
    cr_assert(report.has_value());
    expectEqual(report->sequence, 9U);
    expectEqual(report->suspectedServers.size(), 1U);
    expectEqual(report->work.size(), 1U);
    return *report;
}

} // namespace

// Guards against losing the work of the instances that are not yet replaced during a rolling replacement.
Test(mixed_releases, aReportOfThePreviousReleaseCountsWithAnUnknownEventGapTarget)
{
    load_report report = decoded(passedThroughPreviousRelease(reportWithAllFields().SerializeAsString()));
    expectEqual(report.work.front().eventGapTarget.count(), 0);
    load_tracker tracker;
    tracker.replacePeerWork(report.address, std::move(report.work), at(0));
    const server_load load = tracker.loads(at(0)).at(engine);
    expectEqual(load.requests, 1U);
    expectEqual(load.memoryTokens, 1'000);
    cr_assert(load.pendingPrefill == milliseconds(100));
    expectEqual(load.shortestEventGapTarget.count(), 0);
}

Test(mixed_releases, aReportOfThePreviousReleaseNamesLeavingServersWithoutAnAge)
{
    const load_report report = decoded(passedThroughPreviousRelease(reportWithAllFields().SerializeAsString()));
    expectEqual(report.leavingServers.size(), 1U);
    expectEqual(report.leavingServers.front().server, 44U);
    cr_assert_not(report.leavingServers.front().since.has_value());
}

// Guards against rejecting the reports of a later release, whose fields this one does not know, at each level of the message.
Test(mixed_releases, unknownFieldsAreIgnoredAndTheRestIsUsed)
{
    wire::Report message = reportWithAllFields();
    wire::Work &work = *message.mutable_work(0);
    message.GetReflection()->MutableUnknownFields(&message)->AddVarint(futureField, 7);
    message.GetReflection()->MutableUnknownFields(&message)->AddLengthDelimited(futureField + 1, "unknown");
    work.GetReflection()->MutableUnknownFields(&work)->AddFixed64(futureField, 7);
    const load_report report = decoded(message.SerializeAsString());
    expectEqual(report.work.front().eventGapTarget.count(), 250);
    expectEqual(report.work.front().memoryTokens, 1'000);
}

Test(mixed_releases, aCrashThatThePreviousReleaseToldOfCountsThoughItNamesNoObserver)
{
    const load_report report = decoded(passedThroughPreviousRelease(reportWithAllFields().SerializeAsString()));
    expectEqual(report.quarantine.crashes.size(), 1U);
    cr_assert(report.quarantine.crashes.front().observers.empty());
    cr_assert(report.quarantine.losses.empty());
}
