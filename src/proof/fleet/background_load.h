#pragma once

#include "proof/fleet/process_fleet.h"

#include <atomic>
#include <mutex>
#include <thread>
#include <vector>

namespace mustardtrail::proof
{

/// Sends short requests through given instances, one after another on each thread, until stopped.
class background_load
{
public:
    background_load(process_fleet &fleet, std::vector<size_t> through, int threads, int maxTokens);
    ~background_load();

    /// Instances that new requests go to, as a balancer would choose.
    void useInstances(std::vector<size_t> through);
    void stop();

    int finished() const;
    int refusedNotRun() const;
    /// Answers that were cut, wrong or failed otherwise.
    std::vector<std::string> faults() const;

private:
    void run(size_t thread);
    size_t pick(size_t number) const;

    process_fleet &m_fleet;
    std::vector<size_t> m_through;
    int m_maxTokens;
    mutable std::mutex m_mutex;
    std::vector<std::string> m_faults;
    std::atomic<int> m_finished{ 0 };
    std::atomic<int> m_refused{ 0 };
    std::atomic<bool> m_stopping{ false };
    std::vector<std::thread> m_threads;
};

} // namespace mustardtrail::proof
