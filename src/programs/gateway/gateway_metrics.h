#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

namespace mustardtrail::gateway
{

/// Metrics of the process in the Prometheus text format.
class gateway_metrics
{
public:
    gateway_metrics();
    ~gateway_metrics();
    gateway_metrics(const gateway_metrics &) = delete;
    gateway_metrics &operator=(const gateway_metrics &) = delete;

    void answered(const std::string &route, int status, std::chrono::nanoseconds took);
    void firstEvent(const std::string &route, std::chrono::nanoseconds took);
    /// Time that a request waited here before its first send.
    void waited(const std::string &route, std::chrono::nanoseconds took);
    void sendEnded(const std::string &outcome);
    void refused(const std::string &reason);
    void storeCall(const std::string &outcome);
    void setBeliefs(
        std::uint64_t configVersion, std::chrono::milliseconds configAge, size_t servers, size_t peers, std::uint64_t droppedLines);

    std::string text() const;

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace mustardtrail::gateway
