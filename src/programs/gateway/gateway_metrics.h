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

    void recordAnswer(const std::string &route, int status, std::chrono::nanoseconds duration);
    void recordFirstEvent(const std::string &route, std::chrono::nanoseconds duration);
    /// Actual over predicted time from a send to its first event.
    void recordForecast(const std::string &route, double ratio);
    /// Time from a request's arrival to its first send to a server.
    void recordQueueTime(const std::string &route, std::chrono::nanoseconds duration);
    /// Time that memory was reserved at engines before a request used it, or until it was released.
    void recordUnusedReservation(std::chrono::nanoseconds duration);
    /// Long prompts that wait at this instance with a place in the order of all instances.
    void setWaitingPrompts(size_t count);
    /// Bytes of servers' answers that this instance holds.
    void setHeldAnswers(size_t bytes);
    /// Time that such a prompt waited, and how that ended.
    void recordRoomWait(const std::string &outcome, std::chrono::nanoseconds duration);
    /// Prefill time sent to engines for a customer. Customers beyond the first `maxCustomers` are counted together as "other".
    void recordCustomerPrefill(const std::string &customer, std::chrono::nanoseconds prefill);
    void recordSendOutcome(const std::string &outcome);
    void recordRefusal(const std::string &reason);
    void recordStoreCall(const std::string &outcome);
    /// Bytes of reports to other instances, with the datagrams' headers.
    void recordReports(size_t bytes);
    /// `outcome`: sent, won, lost, or cancelled_late for a race in which the loser had its answer ready too.
    void recordSecondCopy(const std::string &outcome);
    /// Work that a second copy took at a backend server.
    void recordExtraWork(const std::string &service, std::chrono::nanoseconds work);
    void setFleetView(
        std::uint64_t configVersion, std::chrono::milliseconds configAge, size_t servers, size_t peers, std::uint64_t droppedLines);

    std::string text() const;

    static constexpr size_t maxCustomers = 32; ///< Bounds the size of the metrics.

private:
    struct families;
    std::unique_ptr<families> m_families;
};

} // namespace mustardtrail::gateway
