#include "fleet.h"

#include <array>
#include <csignal>
#include <fstream>
#include <stdexcept>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace mustardtrail::review
{

namespace
{

constexpr size_t firstInstance = 40; // Last octets of the addresses.
constexpr size_t firstServer = 100;
constexpr size_t storeOctet = 200;
constexpr size_t dataCentres = 3;
constexpr std::uint16_t callersPort = 8227;
constexpr std::uint16_t readinessPort = 8220;
constexpr std::uint16_t controlPort = 8229;
constexpr std::uint16_t serverPort = 8080;
constexpr std::uint16_t storePort = 8223;
constexpr int octetRange = 200;
constexpr char program[] = "target/bin/mustardtrail-gateway";
constexpr char policy[] = "--policy=deploy/gateway.ini";

std::string quoted(const endpoint &address)
{
    return '"' + toString(address) + '"';
}

[[noreturn]] void runGateway(const std::string &settings, const std::string &log)
{
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0644);
    ::dup2(out, STDOUT_FILENO);
    ::dup2(out, STDERR_FILENO);
    ::setenv("MUSTARDTRAIL_CONFIG", settings.c_str(), 1);
    ::execl(program, program, policy, nullptr);
    ::_exit(127);
}

} // namespace

addresses::addresses()
{
    const int self = ::getpid();
    m_network = "127." + std::to_string(16 + self / octetRange % octetRange) + '.' + std::to_string(1 + self % octetRange) + '.';
}

std::string addresses::host(size_t lastOctet) const
{
    return m_network + std::to_string(lastOctet);
}

endpoint addresses::callers(size_t instance) const
{
    return { host(firstInstance + instance), callersPort };
}

endpoint addresses::readiness(size_t instance) const
{
    return { host(firstInstance + instance), readinessPort };
}

endpoint addresses::control(size_t instance) const
{
    return { host(firstInstance + instance), controlPort };
}

endpoint addresses::server(size_t number) const
{
    return { host(firstServer + number), serverPort };
}

endpoint addresses::store() const
{
    return { host(storeOctet), storePort };
}

fleet::fleet(const addresses &known, size_t instances, std::chrono::seconds grace)
    : m_addresses(known)
    , m_folder(std::filesystem::temp_directory_path() / ("mustardtrail-review-" + std::to_string(::getpid())))
    , m_grace(grace)
    , m_processes(instances, 0)
{
    std::filesystem::create_directories(m_folder);
}

fleet::~fleet()
{
    for (const pid_t process : m_processes) {
        if (process > 0) {
            ::kill(process, SIGKILL);
            ::waitpid(process, nullptr, 0);
        }
    }
    std::error_code ignored;
    std::filesystem::remove_all(m_folder, ignored);
}

size_t fleet::size() const
{
    return m_processes.size();
}

std::string fleet::settingsText(size_t instance) const
{
    std::string seedList;
    for (size_t seed = 0; seed < std::min(seeds, size()); ++seed) {
        seedList += (seedList.empty() ? "" : ",") + quoted(m_addresses.control(seed));
    }
    const std::string zone = dataCentreOf(instance);
    return R"({"node":"front-)" + zone + '-' + std::to_string(instance) + R"(","role":"entry","machine_class":"front",)"
        + R"("serves":["front","control"],"ip":")" + m_addresses.callers(instance).address + R"(","zone":")" + zone
        + R"(","region":"home","listen":{"front":)" + quoted(m_addresses.callers(instance)) + R"(,"ready":)"
        + quoted(m_addresses.readiness(instance)) + R"(,"control":)" + quoted(m_addresses.control(instance))
        + R"(},"internal_ports":[7340,7355],"seeds":[)" + seedList
        + R"(],"bootstrap":true,"limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,"link_mbps":1000.0},"heartbeat_ms":1200,)"
        + R"("bounds":{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,"drain_ms":2000,"grace_s":)" + std::to_string(m_grace.count())
        + R"(,"loss_slack_ms":200,"config_apply_ms":2000,"strict_revoke":true,"revoke_ms":5000,"retry_budget_ratio":0.2,)"
        + R"("retry_window_s":10,"retry_budget_slack":104,"stall_ms":1500,"hold_max_ms":20000,"free_ms":4000,"idle_max_ms":9000},)"
        + R"("platform":{"address":)" + quoted(m_addresses.store())
        + R"(,"form":"read","reads_per_s":2000,"retention_s":20,"value_bytes":1048576}})";
}

void fleet::start(size_t instance)
{
    const std::string name = "instance-" + std::to_string(instance);
    const std::string settings = (m_folder / (name + ".json")).string();
    const std::string log = (m_folder / (name + ".log")).string();
    std::ofstream(settings) << settingsText(instance);
    const pid_t process = ::fork();
    if (process < 0) {
        throw std::runtime_error("no process could be started");
    }
    if (process == 0) {
        runGateway(settings, log);
    }
    m_processes[instance] = process;
}

bool fleet::isRunning(size_t instance)
{
    if (m_processes[instance] > 0 && ::waitpid(m_processes[instance], nullptr, WNOHANG) == m_processes[instance]) {
        m_processes[instance] = 0;
    }
    return m_processes[instance] > 0;
}

std::string dataCentreOf(size_t number)
{
    constexpr std::array<const char *, dataCentres> names{ "kgn-a", "kgn-b", "spt-c" };
    return names[number % dataCentres];
}

std::string serverEntryText(const endpoint &address, size_t number, std::uint64_t bornMs)
{
    return R"({"service":"desk","address":)" + quoted(address) + R"(,"zone":")" + dataCentreOf(number)
        + R"(","version":"v1","slots":6,"state":"ready","cold_left_ms":0,"seq":1,"born":)" + std::to_string(bornMs) + "}";
}

std::string configurationText(std::uint64_t version, const std::vector<std::string> &keys)
{
    std::string keyList;
    for (const std::string &key : keys) {
        keyList += (keyList.empty() ? "\"" : ",\"") + key + '"';
    }
    const std::string rest = R"(,"timeout_ms":1000,"target_latency_ms":100,"priority":2,"service":"desk","public":false,"sticky":false,)"
                             R"("resumable":false})";
    return R"({"version":)" + std::to_string(version)
        + R"(,"routes":[{"name":"lookup","host":"desk.example","path_prefix":"/lookup/","kind":"idempotent","max_attempts":2)" + rest
        + R"(,{"name":"post","host":"desk.example","path_prefix":"/post/","kind":"non_idempotent","max_attempts":1)" + rest
        + R"(],"services":[{"name":"desk","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,)"
        + R"("cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,)"
        + R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"hotel","api_keys":[)" + keyList + R"(],"priority":1}]})";
}

} // namespace mustardtrail::review
