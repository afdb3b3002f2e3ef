#pragma once

#include "base/endpoint.h"
#include "proof/fleet/blocking_caller.h"
#include "proof/fleet/fleet_options.h"
#include "proof/fleet/managed_process.h"

#include <filesystem>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace mustardtrail::proof
{

/// Addresses and processes of one entry instance.
struct fleet_instance {
    std::string id;
    std::string dataCentre;
    endpoint callers;
    endpoint peers;
    endpoint admin;
    endpoint view;
    std::unique_ptr<managed_process> entryProcess;
    std::unique_ptr<managed_process> viewProcess;
};

/// Addresses and process of one backend server.
struct fleet_backend {
    std::string id;
    std::string dataCentre;
    endpoint address;
    endpoint control;
    std::unique_ptr<managed_process> process;
};

/// A small fleet of real processes: the platform, engines, services and one entry instance in each data centre.
class process_fleet
{
public:
    explicit process_fleet(fleet_options options);
    ~process_fleet();

    /// Starts everything; false when an instance was not ready in time.
    bool start();
    /// Planned stop of all instances, then of the stand-ins; false when a process did not end with 0.
    bool stop();

    void startInstance(fleet_instance &instance);
    bool waitReady(const fleet_instance &instance, int seconds);
    /// Publishes one key of the configuration.
    void publish(const std::string &key, const std::string &value);
    void publishDataCentres(const std::map<std::string, bool> &inService);
    /// Changes the state in the platform's live list; the stand-in shows it after its lag.
    void listBackend(const fleet_backend &backend, const std::string &state);
    void listInstance(const fleet_instance &instance, const std::string &state);

    caller_answer complete(
        const fleet_instance &through, const std::string &workClass, size_t promptBytes, int maxTokens, bool stream = true);
    caller_answer service(const fleet_instance &through, const std::string &workClass, const std::string &path, const std::string &key);

    std::vector<fleet_instance> instances;
    std::vector<fleet_backend> engines;
    std::vector<fleet_backend> services;
    endpoint platform;
    endpoint platformControl;

private:
    std::string writeSettings(const std::string &name, const std::string &text) const;
    std::unique_ptr<managed_process> run(const std::string &program, const std::string &name, const std::string &settings) const;
    void startPlatform();
    void startBackends();
    bool waitUntilStandinsAnswer();
    void publishAll();
    std::string backendServersOf(const std::string &dataCentre) const;

    fleet_options m_options;
    std::filesystem::path m_folder;
    std::vector<std::uint16_t> m_ports;
    endpoint nextAddress();
    std::unique_ptr<managed_process> m_platform;
};

} // namespace mustardtrail::proof
