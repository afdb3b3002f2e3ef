#pragma once

#include <chrono>
#include <condition_variable>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <sys/types.h>

/// Stand-ins of the users' platform, on loopback addresses: the store, an engine, a client and the machines of the system.
namespace review
{

using monotonic = std::chrono::steady_clock;

/// Record of one run; each line begins with the milliseconds since the start.
class run_record
{
public:
    explicit run_record(const std::string &path);
    void write(const std::string &line);
    std::chrono::milliseconds age() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    monotonic::time_point m_start = monotonic::now();
};

struct address {
    std::string ip;
    int port = 0;
    std::string text() const;
};

struct message {
    std::string start; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    std::string field(std::string_view name) const;
    std::string target() const;
};

/// One TCP connection. Reads have a time limit.
class connection
{
public:
    explicit connection(int socket);
    ~connection();
    connection(const connection &) = delete;
    connection &operator=(const connection &) = delete;

    static std::unique_ptr<connection> open(const address &to);
    bool send(std::string_view bytes);
    /// Reads a message whose body has a length or comes in chunks.
    std::optional<message> read(std::chrono::milliseconds limit);
    /// Reads the answer to a HEAD request, which has no body whatever its fields say.
    std::optional<message> readHead(std::chrono::milliseconds limit);
    /// Returns all bytes that are there, or arrive within this time.
    std::string readRest(std::chrono::milliseconds time);
    /// Closes with a reset.
    void reset();

private:
    bool fill(monotonic::time_point end);
    std::optional<message> readHeadUntil(monotonic::time_point end);
    bool readChunks(std::string &body, monotonic::time_point end);

    int m_socket;
    std::string m_buffer;
};

/// Accepts connections, each served by a thread of its own until the process ends.
class listener
{
public:
    listener(const address &at, std::function<void(connection &)> serve);
    const address &at() const;

private:
    address m_at;
};

/// The platform's store, as PROTOCOL.md describes it to readers.
class store
{
public:
    struct copy {
        std::map<std::string, std::string> items; ///< As JSON, by key.
        std::vector<std::pair<std::uint64_t, std::string>> events;
        std::uint64_t revision = 0;
    };

    explicit store(const address &at);
    const address &at() const;
    /// Returns the revision; the return is the acknowledgement.
    std::uint64_t put(const std::string &key, const std::string &value);
    copy current();
    /// The store is away: calls get no answer until it is back.
    void goAway();
    /// The store is back. With a copy it has lost what was written after it, and its era rises.
    void comeBack(const std::optional<copy> &from);

private:
    void serve(connection &peer);
    std::string answer(const std::string &target);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    copy m_content;
    bool m_isAway = false;
    std::uint64_t m_era = 1;
    listener m_listener;
};

/// An engine of a plain service. It runs each request that names it, and answers after a moment.
class engine
{
public:
    using run_hook = std::function<void(const engine &, const message &)>;

    engine(std::string id, std::string service, const address &at, run_hook onRun);
    const std::string &id() const;
    /// Its entry in the store.
    std::string entry() const;

private:
    void serve(connection &peer);

    std::string m_id;
    std::string m_service;
    run_hook m_onRun;
    listener m_listener;
};

struct machine_options {
    std::string name;
    std::string ip;
    int basePort = 0;
    std::vector<std::string> seedIps;
    address store;
    std::string folder; ///< For settings and logs.
};

/// One machine of the system with its gateway process.
class machine
{
public:
    explicit machine(machine_options options);
    ~machine();
    machine(const machine &) = delete;
    machine &operator=(const machine &) = delete;

    void start();
    void signal(int number);
    /// Waits for the end of the process and returns its status as of waitpid.
    int wait();
    bool waitUntilReady(std::chrono::milliseconds limit) const;
    address front() const;

private:
    void writeSettings() const;

    machine_options m_options;
    bool m_isFirstStart = true;
    pid_t m_process = 0;
};

/// Returns a loopback address of this run.
std::string loopbackIp(int number);
/// Returns a port that is free, with the ones after it, at all these addresses.
int freePorts(const std::vector<std::string> &ips, int count);
/// Returns a free port of one address.
address freeAddress(const std::string &ip);
/// False when TROUBLE=0.
bool isTroubleWanted();
/// Runs a case and ends the process with its result. Stand-ins are created with `new` and never destroyed, as their threads run on.
int runCase(int argc, char **argv, const std::function<int(run_record &record, const std::string &temporaryFolder)> &play);
void pause(std::chrono::milliseconds time);

struct route {
    std::string name;
    std::string prefix;
    std::string kind;
    std::string service;
    int attempts = 1;
};

/// Returns a configuration. The keys belong to one tenant.
std::string configuration(int version, const std::vector<route> &routes, const std::vector<std::string> &keys);

} // namespace review
