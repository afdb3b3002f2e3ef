#include "programs/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <set>

namespace mustardtrail::gateway
{

namespace
{

template<typename kind, typename builder>
prometheus::Family<kind> &family(builder make, prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return make().Name("mustardtrail_gateway_" + name).Help(help).Register(registry);
}

prometheus::Family<prometheus::Counter> &counter(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return family<prometheus::Counter>(prometheus::BuildCounter, registry, name, help);
}

prometheus::Family<prometheus::Histogram> &histogram(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return family<prometheus::Histogram>(prometheus::BuildHistogram, registry, name, help);
}

prometheus::Family<prometheus::Gauge> &gauge(prometheus::Registry &registry, const std::string &name, const std::string &help)
{
    return family<prometheus::Gauge>(prometheus::BuildGauge, registry, name, help);
}

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets{ 0.01, 0.03, 0.1, 0.2, 0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 15.0 };
    return buckets;
}

const prometheus::Histogram::BucketBoundaries &ratioBuckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets{ 0.25, 0.5, 0.75, 1.0, 1.25, 1.5, 2.0, 3.0, 4.0, 8.0, 16.0 };
    return buckets;
}

double toSeconds(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

struct gateway_metrics::families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &answers = histogram(registry, "answer_seconds", "Arrival to final answer");
    prometheus::Family<prometheus::Histogram> &firstEvents = histogram(registry, "first_event_seconds", "Arrival to first event");
    prometheus::Family<prometheus::Histogram> &forecasts
        = histogram(registry, "first_event_forecast_ratio", "Actual over predicted time from a send to its first event");
    prometheus::Family<prometheus::Histogram> &waits = histogram(registry, "wait_seconds", "Arrival to first send");
    prometheus::Histogram &unusedReservations
        = histogram(registry, "unused_reservation_seconds", "Memory reserved at engines and not yet used").Add({}, latencyBuckets());
    prometheus::Family<prometheus::Histogram> &roomWaits
        = histogram(registry, "room_wait_seconds", "Wait of a long prompt for capacity at the engines by outcome");
    prometheus::Gauge &waitingPrompts
        = gauge(registry, "waiting_prompts", "Long prompts that wait here with a place in the order of all instances").Add({});
    prometheus::Gauge &heldAnswers = gauge(registry, "held_answer_bytes", "Bytes of servers' answers that are held here").Add({});
    prometheus::Family<prometheus::Counter> &sends = counter(registry, "sends_total", "Sends to backend servers by outcome");
    prometheus::Family<prometheus::Counter> &customerPrefill = prometheus::BuildCounter()
                                                                   .Name("mustardtrail_customer_prefill_seconds_total")
                                                                   .Help("Prefill time sent to engines by customer")
                                                                   .Register(registry);
    std::set<std::string> customers; ///< With a counter of their own.
    prometheus::Family<prometheus::Counter> &refusals = counter(registry, "refusals_total", "Requests refused here by reason");
    prometheus::Counter &reportBytes = counter(registry, "report_bytes_total", "Bytes of reports to other instances").Add({});
    prometheus::Family<prometheus::Counter> &storeCalls
        = counter(registry, "store_calls_total", "Calls to the platform's store by outcome");
    prometheus::Family<prometheus::Counter> &secondCopies
        = counter(registry, "second_copies_total", "Second copies of slow requests by outcome");
    prometheus::Family<prometheus::Counter> &extraWork = counter(registry, "second_copy_seconds_total", "Work of second copies by service");
    prometheus::Family<prometheus::Gauge> &fleetView = gauge(registry, "belief", "What this instance believes of the fleet");
    prometheus::Gauge &configVersion = fleetView.Add({ { "of", "config_version" } });
    prometheus::Gauge &configAge = fleetView.Add({ { "of", "config_age_seconds" } });
    prometheus::Gauge &servers = fleetView.Add({ { "of", "backend_servers" } });
    prometheus::Gauge &peers = fleetView.Add({ { "of", "other_instances" } });
    prometheus::Gauge &droppedLines = fleetView.Add({ { "of", "dropped_log_lines" } });
};

gateway_metrics::gateway_metrics()
    : m_families(std::make_unique<families>())
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::recordAnswer(const std::string &route, int status, std::chrono::nanoseconds duration)
{
    m_families->answers.Add({ { "route", route }, { "status", std::to_string(status) } }, latencyBuckets()).Observe(toSeconds(duration));
}

void gateway_metrics::recordFirstEvent(const std::string &route, std::chrono::nanoseconds duration)
{
    m_families->firstEvents.Add({ { "route", route } }, latencyBuckets()).Observe(toSeconds(duration));
}

void gateway_metrics::recordForecast(const std::string &route, double ratio)
{
    m_families->forecasts.Add({ { "route", route } }, ratioBuckets()).Observe(ratio);
}

void gateway_metrics::recordQueueTime(const std::string &route, std::chrono::nanoseconds duration)
{
    m_families->waits.Add({ { "route", route } }, latencyBuckets()).Observe(toSeconds(duration));
}

void gateway_metrics::recordUnusedReservation(std::chrono::nanoseconds duration)
{
    m_families->unusedReservations.Observe(toSeconds(duration));
}

void gateway_metrics::setWaitingPrompts(size_t count)
{
    m_families->waitingPrompts.Set(static_cast<double>(count));
}

void gateway_metrics::setHeldAnswers(size_t bytes)
{
    m_families->heldAnswers.Set(static_cast<double>(bytes));
}

void gateway_metrics::recordRoomWait(const std::string &outcome, std::chrono::nanoseconds duration)
{
    m_families->roomWaits.Add({ { "outcome", outcome } }, latencyBuckets()).Observe(toSeconds(duration));
}

void gateway_metrics::recordCustomerPrefill(const std::string &customer, std::chrono::nanoseconds prefill)
{
    std::set<std::string> &known = m_families->customers;
    if (known.size() < maxCustomers) {
        known.insert(customer);
    }
    const std::string label = known.contains(customer) ? customer : "other";
    m_families->customerPrefill.Add({ { "customer", label } }).Increment(toSeconds(prefill));
}

void gateway_metrics::recordSendOutcome(const std::string &outcome)
{
    m_families->sends.Add({ { "outcome", outcome } }).Increment();
}

void gateway_metrics::recordRefusal(const std::string &reason)
{
    m_families->refusals.Add({ { "reason", reason } }).Increment();
}

void gateway_metrics::recordReports(size_t bytes)
{
    m_families->reportBytes.Increment(static_cast<double>(bytes));
}

void gateway_metrics::recordStoreCall(const std::string &outcome)
{
    m_families->storeCalls.Add({ { "outcome", outcome } }).Increment();
}

void gateway_metrics::recordSecondCopy(const std::string &outcome)
{
    m_families->secondCopies.Add({ { "outcome", outcome } }).Increment();
}

void gateway_metrics::recordExtraWork(const std::string &service, std::chrono::nanoseconds work)
{
    m_families->extraWork.Add({ { "service", service } }).Increment(toSeconds(work));
}

void gateway_metrics::setFleetView(
    std::uint64_t configVersion, std::chrono::milliseconds configAge, size_t servers, size_t peers, std::uint64_t droppedLines)
{
    m_families->configVersion.Set(static_cast<double>(configVersion));
    m_families->configAge.Set(toSeconds(configAge));
    m_families->servers.Set(static_cast<double>(servers));
    m_families->peers.Set(static_cast<double>(peers));
    m_families->droppedLines.Set(static_cast<double>(droppedLines));
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

} // namespace mustardtrail::gateway
