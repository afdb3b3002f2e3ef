#include "programs/gateway/gateway_metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

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

const prometheus::Histogram::BucketBoundaries &secondBuckets()
{
    static const prometheus::Histogram::BucketBoundaries buckets{ 0.01, 0.03, 0.1, 0.2, 0.3, 0.6, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 15.0 };
    return buckets;
}

double secondsOf(std::chrono::nanoseconds value)
{
    return std::chrono::duration<double>(value).count();
}

} // namespace

struct gateway_metrics::families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &answers = histogram(registry, "answer_seconds", "Arrival to final answer");
    prometheus::Family<prometheus::Histogram> &firstEvents = histogram(registry, "first_event_seconds", "Arrival to first event");
    prometheus::Family<prometheus::Histogram> &waits = histogram(registry, "wait_seconds", "Arrival to first send");
    prometheus::Family<prometheus::Counter> &sends = counter(registry, "sends_total", "Sends to backend servers by outcome");
    prometheus::Family<prometheus::Counter> &refusals = counter(registry, "refusals_total", "Requests refused here by reason");
    prometheus::Family<prometheus::Counter> &storeCalls
        = counter(registry, "store_calls_total", "Calls to the platform's store by outcome");
    prometheus::Family<prometheus::Gauge> &beliefs = gauge(registry, "belief", "What this instance believes of the fleet");
    prometheus::Gauge &configVersion = beliefs.Add({ { "of", "config_version" } });
    prometheus::Gauge &configAge = beliefs.Add({ { "of", "config_age_seconds" } });
    prometheus::Gauge &servers = beliefs.Add({ { "of", "backend_servers" } });
    prometheus::Gauge &peers = beliefs.Add({ { "of", "other_instances" } });
    prometheus::Gauge &droppedLines = beliefs.Add({ { "of", "dropped_log_lines" } });
};

gateway_metrics::gateway_metrics()
    : m_families(std::make_unique<families>())
{
}

gateway_metrics::~gateway_metrics() = default;

void gateway_metrics::answered(const std::string &route, int status, std::chrono::nanoseconds took)
{
    m_families->answers.Add({ { "route", route }, { "status", std::to_string(status) } }, secondBuckets()).Observe(secondsOf(took));
}

void gateway_metrics::firstEvent(const std::string &route, std::chrono::nanoseconds took)
{
    m_families->firstEvents.Add({ { "route", route } }, secondBuckets()).Observe(secondsOf(took));
}

void gateway_metrics::waited(const std::string &route, std::chrono::nanoseconds took)
{
    m_families->waits.Add({ { "route", route } }, secondBuckets()).Observe(secondsOf(took));
}

void gateway_metrics::sendEnded(const std::string &outcome)
{
    m_families->sends.Add({ { "outcome", outcome } }).Increment();
}

void gateway_metrics::refused(const std::string &reason)
{
    m_families->refusals.Add({ { "reason", reason } }).Increment();
}

void gateway_metrics::storeCall(const std::string &outcome)
{
    m_families->storeCalls.Add({ { "outcome", outcome } }).Increment();
}

void gateway_metrics::setBeliefs(
    std::uint64_t configVersion, std::chrono::milliseconds configAge, size_t servers, size_t peers, std::uint64_t droppedLines)
{
    m_families->configVersion.Set(static_cast<double>(configVersion));
    m_families->configAge.Set(secondsOf(configAge));
    m_families->servers.Set(static_cast<double>(servers));
    m_families->peers.Set(static_cast<double>(peers));
    m_families->droppedLines.Set(static_cast<double>(droppedLines));
}

std::string gateway_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

} // namespace mustardtrail::gateway
