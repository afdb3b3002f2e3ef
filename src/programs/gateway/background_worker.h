#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>

#include <condition_variable>
#include <deque>
#include <exception>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <thread>

namespace mustardtrail::gateway
{

/// Runs pieces of work on one thread of its own, one at a time and in order, for coroutines of one event loop. A piece owns all
/// that it uses, as the coroutine that awaits it may be destroyed while it runs.
class background_worker
{
public:
    /// `loop` runs the coroutines; it must outlive the worker.
    explicit background_worker(boost::asio::any_io_executor loop);
    ~background_worker();
    background_worker(const background_worker &) = delete;
    background_worker &operator=(const background_worker &) = delete;

    /// Returns what `work` returns, and rethrows what it throws, on the event loop. Never resumes after `stop()`.
    template<typename result_type> boost::asio::awaitable<result_type> compute(std::function<result_type()> work)
    {
        const auto computed = std::make_shared<std::optional<result_type>>();
        std::function<void()> piece = [computed, work = std::move(work)] {
            computed->emplace(work());
        };
        co_await run(std::move(piece));
        co_return std::move(**computed);
    }

    /// Runs `work` without an answer; what it throws is lost.
    void post(std::function<void()> work);
    /// Pieces that run or wait.
    size_t unfinished() const;
    /// Waits for the piece that runs; those that have not begun are dropped.
    void stop();

private:
    struct job;

    boost::asio::awaitable<void> run(std::function<void()> work);
    void add(std::shared_ptr<job> added);
    void runJobs();
    void perform(std::shared_ptr<job> current);

    boost::asio::any_io_executor m_loop;
    mutable std::mutex m_mutex; ///< Of the next three.
    std::deque<std::shared_ptr<job>> m_jobs;
    bool m_isRunning = false;
    bool m_isStopped = false;
    std::condition_variable m_changed;
    std::thread m_thread;
};

} // namespace mustardtrail::gateway
