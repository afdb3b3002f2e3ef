#pragma once

#include "http/server.h"
#include "http/tests/raw_server.h"
#include "programs/gateway/gateway_host.h"
#include "programs/gateway/tests/ending_context.h"
#include "programs/gateway/tests/raw_caller.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace mustardtrail::gateway::testing
{

/// Answer as received by the caller.
struct caller_answer {
    int status = 0;
    std::string body;
    bool isComplete = false;
    std::string retryAfter;
    std::string signature;
};

/// One gateway instance with an in-process store and backend servers, on one event loop and loopback ports.
class fake_platform
{
public:
    /// Handler of one request at a backend server.
    using backend = std::function<boost::asio::awaitable<void>(http::exchange &)>;

    fake_platform();
    ~fake_platform();

    /// Whether the instance asks the server for its report, which is no request of a caller.
    static bool isQuestion(const http::exchange &exchange);
    /// Adds a backend server to the store; `service` is "reading" (resumable streams), "desk" (complete answers) or
    /// "batch" (resumable streams that wait while the server is full).
    /// Returns the server's address.
    endpoint addServer(const std::string &id, const std::string &service, backend serve);
    /// Adds a backend server that runs elsewhere.
    void addServerAt(const std::string &id, const std::string &service, const endpoint &address);
    /// Keeps the gateway's event loop from running for `time`, from `delay` after now, like a machine that is slow or frozen.
    void blockAfter(std::chrono::milliseconds delay, std::chrono::milliseconds time);
    /// Adds a backend server that answers with any bytes. It closes a connection on which it is asked for its report.
    void addRawServer(const std::string &id,
        const std::string &service,
        http::testing::raw_server::script serve,
        http::testing::request_part readFirst = http::testing::request_part::whole);
    /// Starts the gateway and runs the event loop until it is ready.
    void start();
    /// Sets the policy of the first instance.
    void applyPolicy(const operator_policy &policy);
    /// Starts another gateway instance beside the first one, and runs the event loop until they know each other.
    void startSecondInstance();
    /// The first instance loses its paths to all backend servers, on open connections and for new ones; the second does not.
    void cutFirstInstanceFromServers();
    /// The first instance reaches all backend servers again.
    void reconnectFirstInstance();
    /// Makes the store go back to a copy that holds the configuration alone: its revisions go back, its era rises.
    void restoreStoreWithoutServers();
    /// Writes so many megabytes of values that are replaced at once: changes hold them all, lists do not.
    void writeSupersededValues(size_t megabytes);
    /// Era that the store tells before its first restore.
    void setFirstEra(unsigned era);
    /// Configuration before any other is published: routes /stream/, /once/, /again/ and /queue/, one customer with the key "secret".
    static const std::string &firstConfig();
    /// Writes a new configuration to the store.
    void publish(const std::string &config);
    /// Text of a store item, complete but for its revision, which `writeItems` sets.
    static std::string itemOf(const std::string &key, const std::string &value);
    /// Text of the entry of a backend server in the store; `fields` replace or add to its usual ones.
    static std::string entryOf(const std::string &service, const endpoint &address, const std::string &fields = "");
    /// Writes these items to the store as one change; they may be any JSON text. In lists they come before all others.
    void writeItems(const std::vector<std::string> &items);
    /// Calls go to the second instance from now on.
    void callSecondInstance();
    /// Stops the first instance as the platform does; it ends itself before `grace` has passed, and with it the event loop.
    void stopFirstInstance();
    /// Stops the second instance in the same way.
    void stopSecondInstance();
    /// Lets the event loop, which ended with the second instance, run on for the first.
    void restartLoop();
    /// Time that an instance started from now on has to stop.
    void setStopGrace(std::chrono::milliseconds grace);
    /// Memory limit of an instance started from now on.
    void setMemoryLimit(std::int64_t megabytes);
    /// Time within which an instance started from now on stops serving requests with a key if it does not hear from the store.
    void setKeyRevocationLimit(std::chrono::milliseconds limit);
    /// Makes the store answer 503 from now on.
    void stopStore();
    /// Makes the store answer again.
    void restartStore();
    /// Queries for changes that the store has answered though it was not allowed to wait for any.
    int immediateAnswers() const;
    caller_answer call(
        const std::string &path, const std::string &key = "secret", std::chrono::milliseconds timeLeft = std::chrono::milliseconds(4'000));
    caller_answer callWithBody(const std::string &path, std::string body);
    /// Calls with a prompt of these parts, written as on the wire.
    caller_answer callWithPrompt(const std::string &path, const std::string &parts);
    /// Calls with a prompt of this size, "PROMPT,ANSWER" in tokens.
    caller_answer callWithTokens(const std::string &path, const std::string &tokens, std::chrono::milliseconds timeLeft);
    /// Calls while another caller, which has a second left, does not read the answer to its own request.
    caller_answer callBesideASlowCaller(const std::string &path, const std::string &slowCallersPath);
    /// GET of the target at the internal address of the first instance, which serves /metrics.
    caller_answer ask(const std::string &target);
    /// Opens a connection as a caller and sends these bytes.
    raw_caller openCaller(std::string bytes);
    void runFor(std::chrono::milliseconds time);
    boost::asio::any_io_executor executor();
    int readiness();
    /// Of the first instance.
    endpoint readinessAddress() const;
    /// Metrics of the first instance, as text.
    std::string metrics();

private:
    boost::asio::awaitable<void> serveStore(http::exchange &exchange);
    boost::asio::awaitable<void> callGateway(http::request_message message, caller_answer &answer, std::chrono::milliseconds pause);
    caller_answer get(const endpoint &from, const std::string &target);
    std::unique_ptr<gateway_host> openHost(const platform::instance_settings &settings);
    platform::instance_settings settingsOf(const instance_id &instance, const std::string &address) const;
    caller_answer complete(http::request_message message);
    http::request_message requestOf(const std::string &path, const std::string &key, std::chrono::milliseconds timeLeft) const;

    ending_context m_context;
    std::vector<std::unique_ptr<http::server>> m_servers;
    std::vector<std::unique_ptr<http::testing::raw_server>> m_rawServers;
    std::string m_config = firstConfig();
    unsigned m_configRevision = 5;
    std::string m_serverItems;
    std::vector<std::pair<unsigned, std::string>> m_writtenItems; ///< With the revision of their change.
    std::unique_ptr<http::server> m_store;
    endpoint m_storeAddress;
    std::unique_ptr<gateway_host> m_host;
    std::unique_ptr<gateway_host> m_secondHost;
    platform::instance_settings m_settings; ///< Of the first instance.
    std::set<endpoint> m_serverAddresses;
    http::client m_caller;
    endpoint m_callerAddress;
    endpoint m_secondCallerAddress;
    std::pair<unsigned, size_t> m_superseded{ 0, 0 }; ///< Revision and megabytes of values that have been replaced.
    bool m_isStoreDown = false;
    int m_immediateAnswers = 0;
    std::chrono::milliseconds m_stopGrace{ 8'000 };
    std::chrono::milliseconds m_keyRevocationLimit{ 5'000 };
    std::int64_t m_memoryMegabytes = 260;
    unsigned m_era = 1;
    unsigned m_revision = 9;
};

} // namespace mustardtrail::gateway::testing
