#include "programs/entry/entry_metrics.h"

#include "base/json_access.h"

#include <boost/json/array.hpp>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

#include <array>

namespace mustardtrail::entry
{

namespace json = boost::json;

namespace
{

struct length_range {
    token_count atMost;
    const char *label;
};

constexpr std::array<length_range, 6> lengthRanges{ {
    { 2'048, "2k" },
    { 8'192, "8k" },
    { 32'768, "32k" },
    { 131'072, "128k" },
    { 524'288, "512k" },
    { 1'048'576, "1m" },
} };

const prometheus::Histogram::BucketBoundaries secondBuckets{ 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.53, 1, 2, 5, 10, 30, 60, 120, 300 };

double seconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double>(time).count();
}

} // namespace

std::string lengthLabel(token_count promptTokens)
{
    for (const length_range &range : lengthRanges) {
        if (promptTokens <= range.atMost) {
            return range.label;
        }
    }
    return "more";
}

struct entry_metrics::families {
    prometheus::Registry registry;
    prometheus::Family<prometheus::Histogram> &firstToken = prometheus::BuildHistogram()
                                                                .Name("mustardtrail_first_token_seconds")
                                                                .Help("Time to first token, by length of the prompt and class of work")
                                                                .Register(registry);
    prometheus::Family<prometheus::Histogram> &request = prometheus::BuildHistogram()
                                                             .Name("mustardtrail_request_seconds")
                                                             .Help("Time of finished requests, by class of work and data centre")
                                                             .Register(registry);
    prometheus::Family<prometheus::Counter> &failures
        = prometheus::BuildCounter()
              .Name("mustardtrail_requests_failed_total")
              .Help("Failed and refused requests, by class of work, data centre, code and verdict")
              .Register(registry);
    prometheus::Family<prometheus::Counter> &attempts = prometheus::BuildCounter()
                                                            .Name("mustardtrail_attempts_total")
                                                            .Help("Attempts sent to backend servers, and hops to other instances")
                                                            .Register(registry);
    prometheus::Family<prometheus::Gauge> &backends = prometheus::BuildGauge()
                                                          .Name("mustardtrail_backend_server")
                                                          .Help("Limit, running requests and free KV memory of owned backend servers")
                                                          .Register(registry);
    prometheus::Family<prometheus::Gauge> &queues
        = prometheus::BuildGauge().Name("mustardtrail_queued_entries").Help("Entries of an owner's queue, by pool").Register(registry);
    prometheus::Family<prometheus::Gauge> &gauges
        = prometheus::BuildGauge().Name("mustardtrail_state").Help("State of the instance, by quantity").Register(registry);
};

entry_metrics::entry_metrics()
    : m_families(std::make_unique<families>())
{
}

entry_metrics::~entry_metrics() = default;

void entry_metrics::firstToken(token_count promptTokens, const std::string &workClass, bool longAlongside, std::chrono::nanoseconds took)
{
    m_families->firstToken
        .Add({ { "prompt", lengthLabel(promptTokens) }, { "class", workClass }, { "long_alongside", longAlongside ? "yes" : "no" } },
            secondBuckets)
        .Observe(seconds(took));
}

void entry_metrics::finished(const std::string &workClass, const std::string &dataCentre, std::chrono::nanoseconds took)
{
    m_families->request.Add({ { "class", workClass }, { "data_centre", dataCentre } }, secondBuckets).Observe(seconds(took));
}

void entry_metrics::failed(const std::string &workClass, const std::string &dataCentre, const error &failure)
{
    m_families->failures
        .Add({ { "class", workClass },
            { "data_centre", dataCentre },
            { "code", toString(failure.code) },
            { "verdict", std::string(toString(failure.outcome)) } })
        .Increment();
}

void entry_metrics::forwarded()
{
    m_families->attempts.Add({ { "kind", "hop" } }).Increment();
}

void entry_metrics::attempt()
{
    m_families->attempts.Add({ { "kind", "backend" } }).Increment();
}

void entry_metrics::setConfiguration(std::int64_t revision, std::chrono::milliseconds viewAge)
{
    m_families->gauges.Add({ { "quantity", "configuration_revision" } }).Set(static_cast<double>(revision));
    m_families->gauges.Add({ { "quantity", "view_age_seconds" } }).Set(seconds(viewAge));
}

void entry_metrics::setState(const json::object &dump)
{
    const auto gauge = [this](const char *quantity, double value) {
        m_families->gauges.Add({ { "quantity", quantity } }).Set(value);
    };
    gauge("running_requests", static_cast<double>(json_access::numberOr(dump, "running_requests", 0)));
    const json::object *origin = json_access::objectAt(dump, "origin");
    const json::object *requests = origin != nullptr ? json_access::objectAt(*origin, "requests") : nullptr;
    const json::object *counters = requests != nullptr ? json_access::objectAt(*requests, "counters") : nullptr;
    for (const char *name : { "admitted", "refused", "completed", "failed", "attempts", "retries", "continuations" }) {
        gauge(name, counters != nullptr ? static_cast<double>(json_access::unsignedOr(*counters, name, 0)) : 0);
    }
    const json::object *owner = json_access::objectAt(dump, "owner");
    const json::object *placement = owner != nullptr ? json_access::objectAt(*owner, "placement") : nullptr;
    if (placement != nullptr) {
        setPlacement(*placement);
    }
}

void entry_metrics::setPlacement(const json::object &placement)
{
    const json::array none;
    const json::array *backends = json_access::arrayAt(placement, "backend_servers");
    for (const json::value &value : backends != nullptr ? *backends : none) {
        const json::object *backend = value.if_object();
        for (const char *name : { "limit", "running", "free_tokens" }) {
            if (backend != nullptr) {
                m_families->backends.Add({ { "backend_server", json_access::textOr(*backend, "id") }, { "quantity", name } })
                    .Set(static_cast<double>(json_access::numberOr(*backend, name, 0)));
            }
        }
    }
    const json::array *pools = json_access::arrayAt(placement, "pools");
    for (const json::value &value : pools != nullptr ? *pools : none) {
        const json::object *pool = value.if_object();
        const json::array *queue = pool != nullptr ? json_access::arrayAt(*pool, "queue") : nullptr;
        if (queue != nullptr) {
            m_families->queues.Add({ { "pool", json_access::textOr(*pool, "name") } }).Set(static_cast<double>(queue->size()));
        }
    }
}

std::string entry_metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_families->registry.Collect());
}

} // namespace mustardtrail::entry
