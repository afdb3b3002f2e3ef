#pragma once

#include "base/endpoint.h"

#include <chrono>
#include <filesystem>
#include <string>
#include <vector>

#include <sys/types.h>

namespace mustardtrail::review
{

/// Loopback addresses of one run: those of two runs at the same time differ.
class addresses
{
public:
    addresses();
    endpoint callers(size_t instance) const;
    endpoint readiness(size_t instance) const;
    endpoint control(size_t instance) const;
    endpoint server(size_t number) const;
    endpoint store() const;

private:
    std::string host(size_t lastOctet) const;

    std::string m_network;
};

/// Processes of the gateway, started as the deploy file starts them, with settings like those of a small deployment.
class fleet
{
public:
    static constexpr size_t seeds = 3; ///< The first instances are the seeds of all.

    fleet(const addresses &known, size_t instances, std::chrono::seconds grace);
    ~fleet();
    fleet(const fleet &) = delete;
    fleet &operator=(const fleet &) = delete;

    void start(size_t instance);
    bool isRunning(size_t instance);
    size_t size() const;

private:
    std::string settingsText(size_t instance) const;

    const addresses &m_addresses;
    std::filesystem::path m_folder;
    std::chrono::seconds m_grace;
    std::vector<pid_t> m_processes; ///< 0: none.
};

/// Name of the data centre of an instance or a server.
std::string dataCentreOf(size_t number);
/// Entry of a server of the plain service in the store.
std::string serverEntryText(const endpoint &address, size_t number, std::uint64_t bornMs);
/// Configuration with one route to the plain service for idempotent requests and one for those that may run once.
std::string configurationText(std::uint64_t version, const std::vector<std::string> &keys);

} // namespace mustardtrail::review
