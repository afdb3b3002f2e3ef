#include "standin.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>
#include <random>
#include <sstream>
#include <thread>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review
{

using std::chrono::duration_cast;
using std::chrono::milliseconds;

namespace
{

constexpr milliseconds forever = std::chrono::hours(1);
constexpr milliseconds answerDelay{ 15 };

sockaddr_in socketAddress(const address &of)
{
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(of.port));
    inet_pton(AF_INET, of.ip.c_str(), &result.sin_addr);
    return result;
}

int boundSocket(const address &at)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = socketAddress(at);
    if (bind(socket, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0) {
        close(socket);
        return -1;
    }
    return socket;
}

bool isSameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char one, char other) {
        return std::tolower(static_cast<unsigned char>(one)) == std::tolower(static_cast<unsigned char>(other));
    });
}

std::string base64(std::string_view bytes)
{
    constexpr std::string_view digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (size_t at = 0; at < bytes.size(); at += 3) {
        const std::string_view group = bytes.substr(at, 3);
        unsigned value = 0;
        for (size_t index = 0; index < 3; ++index) {
            value = value << 8U | (index < group.size() ? static_cast<unsigned char>(group[index]) : 0U);
        }
        for (size_t index = 0; index < 4; ++index) {
            text += index <= group.size() ? digits[value >> (18 - 6 * index) & 63U] : '=';
        }
    }
    return text;
}

std::string parameter(const std::string &target, const std::string &name)
{
    const size_t query = target.find('?');
    std::istringstream parts(query == std::string::npos ? std::string() : target.substr(query + 1));
    for (std::string part; std::getline(parts, part, '&');) {
        if (part.starts_with(name + "=")) {
            return part.substr(name.size() + 1);
        }
    }
    return {};
}

std::string response(int status, const std::string &fields, const std::string &body)
{
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n"
        + body;
}

std::string joined(const std::vector<std::string> &texts)
{
    std::string list;
    for (const std::string &each : texts) {
        list += (list.empty() ? "" : ",") + each;
    }
    return list;
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

} // namespace

run_record::run_record(const std::string &path)
    : m_file(path)
{
}

std::chrono::milliseconds run_record::age() const
{
    return duration_cast<milliseconds>(monotonic::now() - m_start);
}

void run_record::write(const std::string &line)
{
    const std::lock_guard lock(m_mutex);
    const std::string text = std::to_string(age().count()) + " " + line;
    m_file << text << std::endl;
    std::cout << text << std::endl;
}

std::string address::text() const
{
    return ip + ":" + std::to_string(port);
}

std::string message::field(std::string_view name) const
{
    for (const auto &[each, value] : fields) {
        if (isSameName(each, name)) {
            return value;
        }
    }
    return {};
}

std::string message::target() const
{
    const size_t begin = start.find(' ') + 1;
    return start.substr(begin, start.find(' ', begin) - begin);
}

connection::connection(int socket)
    : m_socket(socket)
{
    const int on = 1;
    setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

connection::~connection()
{
    if (m_socket >= 0) {
        close(m_socket);
    }
}

std::unique_ptr<connection> connection::open(const address &to)
{
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in remote = socketAddress(to);
    if (connect(socket, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0) {
        close(socket);
        return nullptr;
    }
    return std::make_unique<connection>(socket);
}

bool connection::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t count = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return false;
        }
        bytes.remove_prefix(static_cast<size_t>(count));
    }
    return true;
}

void connection::reset()
{
    const linger now{ 1, 0 };
    setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &now, sizeof now);
    close(m_socket);
    m_socket = -1;
}

bool connection::fill(monotonic::time_point end)
{
    pollfd waiting{ m_socket, POLLIN, 0 };
    const auto left = std::max(duration_cast<milliseconds>(end - monotonic::now()), milliseconds(0));
    if (poll(&waiting, 1, static_cast<int>(left.count())) <= 0) {
        return false;
    }
    std::array<char, 64 * 1024> bytes{};
    const ssize_t count = recv(m_socket, bytes.data(), bytes.size(), 0);
    if (count <= 0) {
        return false;
    }
    m_buffer.append(bytes.data(), static_cast<size_t>(count));
    return true;
}

bool connection::readChunks(std::string &body, monotonic::time_point end)
{
    while (true) {
        size_t lineEnd = m_buffer.find("\r\n");
        while (lineEnd == std::string::npos) {
            if (!fill(end)) {
                return false;
            }
            lineEnd = m_buffer.find("\r\n");
        }
        const size_t count = std::strtoul(m_buffer.c_str(), nullptr, 16);
        while (m_buffer.size() < lineEnd + 2 + count + 2) {
            if (!fill(end)) {
                return false;
            }
        }
        body += m_buffer.substr(lineEnd + 2, count);
        m_buffer.erase(0, lineEnd + 2 + count + 2);
        if (count == 0) {
            return true;
        }
    }
}

std::string connection::readRest(milliseconds time)
{
    const auto end = monotonic::now() + time;
    while (fill(end)) {
    }
    return std::exchange(m_buffer, {});
}

std::optional<message> connection::readHead(milliseconds limit)
{
    return readHeadUntil(monotonic::now() + limit);
}

std::optional<message> connection::readHeadUntil(monotonic::time_point end)
{
    while (m_buffer.find("\r\n\r\n") == std::string::npos) {
        if (!fill(end)) {
            return std::nullopt;
        }
    }
    const size_t headEnd = m_buffer.find("\r\n\r\n");
    std::istringstream head(m_buffer.substr(0, headEnd + 2));
    m_buffer.erase(0, headEnd + 4);
    message read;
    for (std::string line; std::getline(head, line);) {
        line.resize(line.size() - 1);
        const size_t colon = line.find(':');
        if (read.start.empty()) {
            read.start = line;
        } else if (colon != std::string::npos) {
            const size_t value = line.find_first_not_of(' ', colon + 1);
            read.fields.emplace_back(line.substr(0, colon), value == std::string::npos ? std::string() : line.substr(value));
        }
    }
    return read;
}

std::optional<message> connection::read(milliseconds limit)
{
    const auto end = monotonic::now() + limit;
    auto read = readHeadUntil(end);
    if (!read) {
        return std::nullopt;
    }
    if (isSameName(read->field("Transfer-Encoding"), "chunked")) {
        return readChunks(read->body, end) ? read : std::nullopt;
    }
    const size_t length = std::strtoul(read->field("Content-Length").c_str(), nullptr, 10);
    while (m_buffer.size() < length) {
        if (!fill(end)) {
            return std::nullopt;
        }
    }
    read->body = m_buffer.substr(0, length);
    m_buffer.erase(0, length);
    return read;
}

listener::listener(const address &at, std::function<void(connection &)> serve)
    : m_at(at)
{
    const int socket = boundSocket(at);
    if (socket < 0 || listen(socket, 512) != 0) {
        std::cerr << "cannot listen at " << at.text() << '\n';
        std::_Exit(2);
    }
    std::thread([socket, serve = std::move(serve)] {
        while (true) {
            const int accepted = accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0) {
                pause(milliseconds(10));
                continue;
            }
            std::thread([accepted, serve] {
                connection peer(accepted);
                serve(peer);
            }).detach();
        }
    }).detach();
}

const address &listener::at() const
{
    return m_at;
}

store::store(const address &at)
    : m_listener(at, [this](connection &peer) {
        serve(peer);
    })
{
    const std::lock_guard lock(m_mutex);
    m_content.revision = 100;
}

const address &store::at() const
{
    return m_listener.at();
}

std::uint64_t store::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    const std::string revision = std::to_string(++m_content.revision);
    const std::string item = R"({"key":")" + key + R"(","value":")" + base64(value) + R"(","revision":)" + revision + R"(,"created":)"
        + revision + R"(,"lease":0})";
    m_content.items[key] = item;
    m_content.events.emplace_back(m_content.revision, item);
    m_changed.notify_all();
    return m_content.revision;
}

store::copy store::current()
{
    const std::lock_guard lock(m_mutex);
    return m_content;
}

void store::goAway()
{
    const std::lock_guard lock(m_mutex);
    m_isAway = true;
    m_changed.notify_all();
}

void store::comeBack(const std::optional<copy> &from)
{
    const std::lock_guard lock(m_mutex);
    if (from) {
        m_content = *from;
        ++m_era;
    }
    m_isAway = false;
    m_changed.notify_all();
}

void store::serve(connection &peer)
{
    while (const auto request = peer.read(forever)) {
        const std::uint64_t eraBefore = [this] {
            const std::lock_guard lock(m_mutex);
            return m_era;
        }();
        const std::string text = answer(request->target());
        std::unique_lock lock(m_mutex);
        if (m_isAway || m_era != eraBefore) {
            return; // Whoever asked before the store went away gets no answer.
        }
        lock.unlock();
        if (!peer.send(text)) {
            return;
        }
    }
}

std::string store::answer(const std::string &target)
{
    std::unique_lock lock(m_mutex);
    const std::string prefix = parameter(target, "path_prefix");
    std::vector<std::string> found;
    if (target.starts_with("/api/kv-range")) {
        for (const auto &[key, item] : m_content.items) {
            if (key.starts_with(prefix) && key > parameter(target, "after")) {
                found.push_back(item);
            }
        }
    } else {
        const std::uint64_t after = std::strtoull(parameter(target, "after").c_str(), nullptr, 10);
        const auto end = monotonic::now() + milliseconds(std::atoi(parameter(target, "wait_ms").c_str()));
        m_changed.wait_until(lock, end, [&] {
            return m_isAway || m_content.revision != after;
        });
        if (after > m_content.revision) {
            return response(410, "Store-Era: " + std::to_string(m_era) + "\r\n", "{}");
        }
        for (const auto &[revision, item] : m_content.events) {
            if (revision > after) {
                found.push_back(item);
            }
        }
    }
    const std::string name = target.starts_with("/api/kv-range") ? R"({"items":[)" : R"({"events":[)";
    const std::string body = name + joined(found) + R"(],"has_more":false,"store_revision":)" + std::to_string(m_content.revision) + "}";
    return response(200, "Content-Type: application/json\r\nStore-Era: " + std::to_string(m_era) + "\r\n", body);
}

engine::engine(std::string id, std::string service, const address &at, run_hook onRun)
    : m_id(std::move(id))
    , m_service(std::move(service))
    , m_onRun(std::move(onRun))
    , m_listener(at, [this](connection &peer) {
        serve(peer);
    })
{
}

const std::string &engine::id() const
{
    return m_id;
}

std::string engine::entry() const
{
    return R"({"service":")" + m_service + R"(","address":")" + m_listener.at().text()
        + R"(","zone":"z-a","version":"v1","slots":16,"state":"ready","cold_left_ms":0,"born":1,"seq":1})";
}

void engine::serve(connection &peer)
{
    while (const auto request = peer.read(forever)) {
        const std::string id = "Attempt-Id: " + request->field("Attempt-Id") + "\r\n";
        const std::string expected = request->field("Expect-Instance");
        if (!expected.empty() && expected != m_id) {
            peer.send(response(421, id + "Instance-Id: " + m_id + "\r\n", {}));
            continue;
        }
        m_onRun(*this, *request);
        pause(answerDelay);
        const std::string stamp = "Response-Stamp: " + m_id + "." + request->field("Attempt-Id") + "\r\n";
        std::string answer = response(200, id + stamp, "answer to " + request->field("Attempt-Id"));
        if (request->start.starts_with("HEAD ")) {
            answer.resize(answer.find("\r\n\r\n") + 4);
        }
        if (!peer.send(answer)) {
            return;
        }
    }
}

machine::machine(machine_options options)
    : m_options(std::move(options))
{
}

void machine::writeSettings() const
{
    const auto at = [this](int offset) {
        return quoted(address{ m_options.ip, m_options.basePort + offset }.text());
    };
    std::vector<std::string> seeds;
    for (const std::string &ip : m_options.seedIps) {
        seeds.push_back(quoted(address{ ip, m_options.basePort + 2 }.text()));
    }
    std::ofstream settings(m_options.folder + "/" + m_options.name + ".json");
    settings << R"({"node":)" << quoted(m_options.name) << R"(,"role":"entry","machine_class":"front","serves":["front","control"],"ip":)"
             << quoted(m_options.ip) << R"(,"zone":"z-a","region":"r-a","zones":{"z-a":"r-a"},"listen":{"front":)" << at(0)
             << R"(,"ready":)" << at(1) << R"(,"control":)" << at(2) << R"(},"internal_ports":[)" << m_options.basePort + 3 << ','
             << m_options.basePort + 18 << R"(],"seeds":[)" << joined(seeds) << R"(],"bootstrap":)" << (m_isFirstStart ? "true" : "false")
             << R"(,"fault_counted":false,"limits":{"cpu_share":0.25,"cores":1,"memory_mb":260,"max_fds":4100,)"
             << R"("link_mbps":1000.0,"disk_mb":0},"data_dir":null,"discovery":"platform","entry":"vip","heartbeat_ms":1200,)"
             << R"("contracts":["base","drain","config","cost","retry","recover","engine","stream","tenants","places","platform","spans"],)"
             << R"("fault_tolerance":{"machines":1,"zones":1,"regions":0},"bounds":{"seed_lag_s":3,"addr_reuse_s":2,"contact_ms":3000,)"
             << R"("ack_timeout_ms":4000,"catch_up_s":4,"drain_ms":2000,"grace_s":8,"loss_slack_ms":200,"config_apply_ms":2000,)"
             << R"("downgrade_slack_ms":250,"max_stretch_ms":5000,"strict_revoke":true,"revoke_ms":5000,"retry_budget_ratio":0.2,)"
             << R"("retry_window_s":10,"retry_budget_slack":104,"cold_over":1.5,"cold_slack":5,"evacuate_ms":5000,"recovery_s":12,)"
             << R"("pass_ms":120,"retry_after_s":0,"stall_ms":1500,"hold_max_ms":20000,"free_ms":4000,"idle_max_ms":9000},)"
             << R"("platform":{"address":)" << quoted(m_options.store.text())
             << R"(,"form":"read","writes_per_s":400,"reads_per_s":2000,"retention_s":20,"value_bytes":1048576,"min_ttl_ms":1000}})";
}

machine::~machine()
{
    if (m_process > 0) {
        kill(m_process, SIGKILL);
        waitpid(m_process, nullptr, 0);
    }
}

void machine::start()
{
    writeSettings();
    m_isFirstStart = false;
    const std::string settings = m_options.folder + "/" + m_options.name + ".json";
    const std::string log = m_options.folder + "/" + m_options.name + ".log";
    m_process = fork();
    if (m_process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL); // Also when the case is stopped from outside.
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("MUSTARDTRAIL_CONFIG", settings.c_str(), 1);
        execl("target/bin/mustardtrail-gateway", "mustardtrail-gateway", "--policy=deploy/gateway.ini", nullptr);
        _exit(127);
    }
}

void machine::signal(int number)
{
    kill(m_process, number);
}

int machine::wait()
{
    int status = 0;
    waitpid(m_process, &status, 0);
    m_process = 0;
    return status;
}

bool machine::waitUntilReady(milliseconds limit) const
{
    const auto end = monotonic::now() + limit;
    while (monotonic::now() < end) {
        const auto probe = connection::open({ m_options.ip, m_options.basePort + 1 });
        if (probe && probe->send("GET /api/readyz HTTP/1.1\r\nHost: probe\r\n\r\n")) {
            const auto answer = probe->read(milliseconds(1'000));
            if (answer && answer->start.find(" 200") != std::string::npos) {
                return true;
            }
        }
        pause(milliseconds(5));
    }
    return false;
}

address machine::front() const
{
    return { m_options.ip, m_options.basePort };
}

std::string loopbackIp(int number)
{
    const int process = getpid();
    return "127." + std::to_string(1 + process / 250 % 250) + "." + std::to_string(1 + process % 250) + "." + std::to_string(number);
}

int freePorts(const std::vector<std::string> &ips, int count)
{
    std::mt19937 random(std::random_device{}());
    while (true) {
        const int base = 20'000 + static_cast<int>(random() % 10'000);
        bool areFree = true;
        for (const std::string &ip : ips) {
            for (int port = base; port < base + count && areFree; ++port) {
                const int socket = boundSocket({ ip, port });
                areFree = socket >= 0;
                close(socket);
            }
        }
        if (areFree) {
            return base;
        }
    }
}

address freeAddress(const std::string &ip)
{
    return { ip, freePorts({ ip }, 1) };
}

bool isTroubleWanted()
{
    const char *trouble = std::getenv("TROUBLE");
    return !trouble || std::string_view(trouble) != "0";
}

int runCase(int argc, char **argv, const std::function<int(run_record &, const std::string &)> &play)
{
    if (argc != 3) {
        std::cerr << "usage: " << argv[0] << " CASE_FOLDER TEMPORARY_FOLDER\n";
        return 2;
    }
    run_record record(std::string(argv[1]) + "/record.txt");
    const int code = play(record, argv[2]);
    std::cout.flush();
    std::_Exit(code); // The threads of the stand-ins still run.
}

void pause(milliseconds time)
{
    std::this_thread::sleep_for(time);
}

std::string configuration(int version, const std::vector<route> &routes, const std::vector<std::string> &keys)
{
    std::vector<std::string> routeTexts;
    std::map<std::string, std::string> services;
    for (const route &each : routes) {
        routeTexts.push_back(R"({"name":")" + each.name + R"(","host":"desk.example","path_prefix":")" + each.prefix + R"(","kind":")"
            + each.kind + R"(","timeout_ms":5000,"target_latency_ms":100,"priority":2,"service":")" + each.service + R"(","max_attempts":)"
            + std::to_string(each.attempts) + R"(,"public":false})");
        services[each.service] = R"({"name":")" + each.service
            + R"(","health_path":"/healthz","max_connections":110,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0})";
    }
    std::vector<std::string> serviceTexts;
    for (const auto &[name, text] : services) {
        serviceTexts.push_back(text);
    }
    std::vector<std::string> keyTexts;
    std::transform(keys.begin(), keys.end(), std::back_inserter(keyTexts), quoted);
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + joined(routeTexts) + R"(],"services":[)" + joined(serviceTexts)
        + R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":30000},)"
        + R"("tenants":[{"name":"shop","api_keys":[)" + joined(keyTexts) + "]}]}";
}

} // namespace review
