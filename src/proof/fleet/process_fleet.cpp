#include "proof/fleet/process_fleet.h"

#include "proof/fleet/expected_answer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <fstream>
#include <thread>

namespace mustardtrail::proof
{

namespace
{

constexpr int readySeconds = 15;
constexpr int stopSeconds = 20;
constexpr size_t smallFleetPorts = 64;
constexpr size_t largeFleetPorts = 256;
constexpr std::chrono::milliseconds pollPause{ 20 };
constexpr std::chrono::milliseconds callLimit{ 60'000 };

/// Free ports below those that the system gives to outgoing connections; fleets that run at once use other blocks.
std::vector<std::uint16_t> freePorts(size_t needed)
{
    const bool isSmall = needed <= smallFleetPorts;
    const size_t count = isSmall ? smallFleetPorts : largeFleetPorts;
    const int firstPort = isSmall ? 10'240 : 29'440;
    const int blocks = isSmall ? 300 : 12;
    boost::asio::io_context context;
    std::vector<std::uint16_t> ports;
    const int block = static_cast<int>(::getpid()) % blocks;
    for (int port = firstPort + block * static_cast<int>(count); ports.size() < count; ++port) {
        boost::system::error_code failure;
        boost::asio::ip::tcp::acceptor probe(context);
        const boost::asio::ip::tcp::endpoint local(boost::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(port));
        probe.open(local.protocol(), failure);
        probe.bind(local, failure);
        if (!failure) {
            ports.push_back(local.port());
        }
    }
    return ports;
}

size_t portsOf(const fleet_options &options)
{
    constexpr size_t ofPlatform = 2;
    constexpr size_t ofInstance = 4;
    constexpr size_t ofBackend = 2;
    size_t ports = ofPlatform + ofBackend * static_cast<size_t>(options.services);
    for (const int engines : options.enginesPerDataCentre) {
        ports += ofInstance + ofBackend * static_cast<size_t>(engines);
    }
    return ports;
}

std::string liveEntry(const std::string &id,
    const char *kind,
    const std::string &dataCentre,
    const endpoint &requests,
    const endpoint &heartbeats,
    const std::string &state)
{
    boost::json::object entry{ { "id", id },
        { "kind", kind },
        { "data_centre", dataCentre },
        { "requests", toString(requests) },
        { "heartbeats", toString(heartbeats) },
        { "state", state },
        { "incarnation", 1 } };
    return boost::json::serialize(boost::json::object{ { "live", std::move(entry) } });
}

/// Asks until the answer's status is accepted; it is 0 without an answer.
bool waitForStatus(const endpoint &address, const char *target, std::chrono::seconds limit, bool (*isAccepted)(int status))
{
    const auto end = std::chrono::steady_clock::now() + limit;
    http::request_message ask;
    ask.target = target;
    while (std::chrono::steady_clock::now() < end) {
        if (isAccepted(callAndWait(address, ask, std::chrono::seconds(1)).status)) {
            return true;
        }
        std::this_thread::sleep_for(pollPause);
    }
    return false;
}

const char *classesValue = R"([
    {"id":"lookup","first_token_target":"3s","total_target":"10s","repeatable":true},
    {"id":"benchmark","first_token_target":"10s","total_target":"30s","repeatable":true},
    {"id":"review","first_token_target":"50s","total_target":"55s","repeatable":true},
    {"id":"status","first_token_target":"2s","total_target":"5s","repeatable":true},
    {"id":"deposit","first_token_target":"5s","total_target":"10s","repeatable":false}])";

} // namespace

process_fleet::process_fleet(fleet_options options)
    : m_options(std::move(options))
    , m_ports(freePorts(portsOf(m_options)))
{
    std::string pattern = (std::filesystem::temp_directory_path() / "mustardtrail-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    platform = nextAddress();
    platformControl = nextAddress();
    int centre = 0;
    for (const int engineCount : m_options.enginesPerDataCentre) {
        ++centre;
        const std::string dataCentre = "dc" + std::to_string(centre);
        instances.push_back(
            { "e" + std::to_string(centre), dataCentre, nextAddress(), nextAddress(), nextAddress(), nextAddress(), nullptr, nullptr });
        for (int engine = 1; engine <= engineCount; ++engine) {
            engines.push_back({ "g" + std::to_string(centre) + std::to_string(engine), dataCentre, nextAddress(), nextAddress(), nullptr });
        }
    }
    for (int service = 1; service <= m_options.services; ++service) {
        services.push_back({ "s" + std::to_string(service), "dc1", nextAddress(), nextAddress(), nullptr });
    }
}

process_fleet::~process_fleet()
{
    instances.clear();
    engines.clear();
    services.clear();
    m_platform.reset();
    if (!m_options.keepLogs) {
        std::error_code ignored;
        std::filesystem::remove_all(m_folder, ignored);
    }
}

endpoint process_fleet::nextAddress()
{
    const std::uint16_t port = m_ports.back();
    m_ports.pop_back();
    return { "127.0.0.1", port };
}

std::string process_fleet::writeSettings(const std::string &name, const std::string &text) const
{
    const auto path = m_folder / (name + ".ini");
    std::ofstream(path) << text;
    return path.string();
}

std::unique_ptr<managed_process> process_fleet::run(const std::string &program, const std::string &name, const std::string &settings) const
{
    return std::make_unique<managed_process>(
        m_options.binaries + "/" + program, writeSettings(name, settings), (m_folder / (name + ".log")).string());
}

void process_fleet::startPlatform()
{
    m_platform = run("standin-platform",
        "platform",
        "[platform]\nlisten = " + toString(platform) + "\ncontrol = " + toString(platformControl) + "\nlive_lag = " + m_options.liveLag
            + "\n");
}

void process_fleet::startBackends()
{
    for (fleet_backend &engine : engines) {
        engine.process = run("standin-engine",
            engine.id,
            "[engine]\nlisten = " + toString(engine.address) + "\ncontrol = " + toString(engine.control)
                + "\nmodels = pay\nmemory_tokens = " + std::to_string(m_options.engineMemory)
                + "\nprefill_tokens_per_second = " + std::to_string(m_options.prefillTokensPerSecond) + "\ndecode_tokens_per_second = "
                + std::to_string(m_options.decodeTokensPerSecond) + "\ncold_requests = " + std::to_string(m_options.coldRequests)
                + "\nwarm_after = " + std::to_string(m_options.warmAfter) + "\n");
    }
    for (fleet_backend &service : services) {
        service.process = run("standin-service",
            service.id,
            "[service]\nlisten = " + toString(service.address) + "\ncontrol = " + toString(service.control) + "\n");
    }
}

void process_fleet::startInstance(fleet_instance &instance)
{
    std::string common = "[instance]\nid = ";
    common.append(instance.id).append("\ndata_centre = ").append(instance.dataCentre).append("\n[testing]\nallow_cuts = ");
    common.append(m_options.allowCuts ? "yes\n" : "no\n");
    instance.viewProcess = run("mustardtrail-view",
        instance.id + "-view",
        common + "[view]\nlisten = " + toString(instance.view) + "\nentry_peers = " + toString(instance.peers)
            + "\nplatform = " + toString(platform) + "\n");
    instance.entryProcess = run("mustardtrail-entry",
        instance.id + "-entry",
        common + "[entry]\ncallers = " + toString(instance.callers) + "\npeers = " + toString(instance.peers)
            + "\nadmin = " + toString(instance.admin) + "\nview = " + toString(instance.view) + "\nbalancer_lag = " + m_options.balancerLag
            + "\ndefault_class = lookup\n[limits]\nprogress = " + m_options.progressLimit + "\n");
}

void process_fleet::publish(const std::string &key, const std::string &value)
{
    control(platformControl, R"({"set":{"key":")" + key + R"(","value":)" + value + "}}");
}

void process_fleet::publishDataCentres(const std::map<std::string, bool> &inService)
{
    std::string value;
    for (const auto &[id, isIn] : inService) {
        value += value.empty() ? "" : ",";
        value.append(R"({"id":")").append(id).append(R"(","region":"r1","in_service":)").append(isIn ? "true}" : "false}");
    }
    publish("data_centres", "[" + value + "]");
}

std::string process_fleet::backendServersOf(const std::string &dataCentre) const
{
    std::string value;
    const auto add = [&](const fleet_backend &backend, const std::string &rest) {
        if (backend.dataCentre == dataCentre) {
            value += value.empty() ? "" : ",";
            value.append(R"({"id":")").append(backend.id).append(R"(","address":")").append(toString(backend.address));
            value.append(R"(","in_service":true,)").append(rest).append("}");
        }
    };
    for (const fleet_backend &engine : engines) {
        add(engine,
            R"("kind":"engine","models":["pay"],"model_version":"1","checks_fencing":true,"warm_requests":16,"cold_requests":)"
                + std::to_string(m_options.coldRequests) + R"(,"memory_tokens":)" + std::to_string(m_options.engineMemory));
    }
    for (const fleet_backend &service : services) {
        add(service, R"("kind":"service","service":"orders","cold_requests":4,"warm_requests":32)");
    }
    return "[" + value + "]";
}

void process_fleet::publishAll()
{
    publish("classes", classesValue);
    publish("customers", R"([{"id":"hotel"},{"id":"band"}])");
    publish("models", R"([{"id":"pay"}])");
    std::map<std::string, bool> inService;
    for (const fleet_instance &instance : instances) {
        inService[instance.dataCentre] = true;
    }
    publishDataCentres(inService);
    for (const fleet_instance &instance : instances) {
        publish("backend_servers/" + instance.dataCentre, backendServersOf(instance.dataCentre));
    }
    for (const fleet_instance &instance : instances) {
        listInstance(instance, "live");
    }
    for (const auto *list : { &engines, &services }) {
        for (const fleet_backend &backend : *list) {
            listBackend(backend, "live");
        }
    }
}

void process_fleet::listBackend(const fleet_backend &backend, const std::string &state)
{
    control(platformControl, liveEntry(backend.id, "backend", backend.dataCentre, backend.address, backend.address, state));
}

void process_fleet::listInstance(const fleet_instance &instance, const std::string &state)
{
    control(platformControl, liveEntry(instance.id, "entry", instance.dataCentre, instance.peers, instance.view, state));
}

bool process_fleet::waitReady(const fleet_instance &instance, int seconds)
{
    return waitForStatus(instance.admin, "/readyz", std::chrono::seconds(seconds), [](int status) {
        return status == 200;
    });
}

// What is published before the platform listens is lost.
bool process_fleet::waitUntilStandinsAnswer()
{
    std::vector<endpoint> controls{ platformControl };
    for (const auto *list : { &engines, &services }) {
        for (const fleet_backend &backend : *list) {
            controls.push_back(backend.control);
        }
    }
    return std::ranges::all_of(controls, [](const endpoint &control) {
        return waitForStatus(control, "/", std::chrono::seconds(readySeconds), [](int status) {
            return status != 0;
        });
    });
}

bool process_fleet::start()
{
    startPlatform();
    startBackends();
    if (!waitUntilStandinsAnswer()) {
        return false;
    }
    publishAll();
    for (fleet_instance &instance : instances) {
        startInstance(instance);
    }
    for (const fleet_instance &instance : instances) {
        if (!waitReady(instance, readySeconds)) {
            return false;
        }
    }
    return true;
}

bool process_fleet::stop()
{
    bool clean = true;
    for (fleet_instance &instance : instances) {
        instance.viewProcess->signal(SIGTERM);
        instance.entryProcess->signal(SIGTERM);
    }
    for (fleet_instance &instance : instances) {
        clean = instance.entryProcess->wait(stopSeconds) == 0 && clean;
        clean = instance.viewProcess->wait(stopSeconds) == 0 && clean;
    }
    for (auto *list : { &engines, &services }) {
        for (fleet_backend &backend : *list) {
            backend.process->signal(SIGTERM);
            clean = backend.process->wait(stopSeconds) == 0 && clean;
        }
    }
    m_platform->signal(SIGTERM);
    return m_platform->wait(stopSeconds) == 0 && clean;
}

caller_answer process_fleet::complete(
    const fleet_instance &through, const std::string &workClass, size_t promptBytes, int maxTokens, bool stream)
{
    const std::string prompt = testPrompt(promptBytes);
    http::request_message message;
    message.method = "POST";
    message.target = "/v1/completions";
    message.headers.add("Content-Type", "application/json");
    message.headers.add("Mustardtrail-Customer", "hotel");
    message.headers.add("Mustardtrail-Class", workClass);
    const std::string body = R"({"model":"pay","max_tokens":)" + std::to_string(maxTokens) + R"(,"stream":)" + (stream ? "true" : "false")
        + R"(,"prompt":)" + boost::json::serialize(boost::json::string(prompt)) + "}";
    message.body = std::make_shared<const std::string>(body);
    return callAndWait(through.callers, std::move(message), callLimit);
}

caller_answer process_fleet::service(
    const fleet_instance &through, const std::string &workClass, const std::string &path, const std::string &key)
{
    http::request_message message;
    message.method = "POST";
    message.target = "/service/orders/" + path;
    message.headers.add("Mustardtrail-Customer", "band");
    message.headers.add("Mustardtrail-Class", workClass);
    if (!key.empty()) {
        message.headers.add("Idempotency-Key", key);
    }
    message.body = std::make_shared<const std::string>("{}");
    return callAndWait(through.callers, std::move(message), callLimit);
}

} // namespace mustardtrail::proof
