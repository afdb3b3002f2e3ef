#include "programs/gateway/background_worker.h"

#include "programs/gateway/monotonic_timer.h"

#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace mustardtrail::gateway
{

namespace asio = boost::asio;

/// `work` and `failure` belong to the worker until the event loop has been told of the end, all else to the event loop.
struct background_worker::job {
    std::function<void()> work;
    std::exception_ptr failure;
    bool isDone = false;
    monotonic_timer *waiter = nullptr; ///< Null when no coroutine waits for the end.
};

background_worker::background_worker(asio::any_io_executor loop)
    : m_loop(std::move(loop))
    , m_thread([this] {
        runJobs();
    })
{
}

background_worker::~background_worker()
{
    stop();
}

asio::awaitable<void> background_worker::run(std::function<void()> work)
{
    struct waiting {
        std::shared_ptr<job> awaited;
        ~waiting()
        {
            awaited->waiter = nullptr;
        }
    };

    monotonic_timer end(m_loop, time_point::max());
    const waiting guard{ std::make_shared<job>() };
    guard.awaited->work = std::move(work);
    guard.awaited->waiter = &end;
    add(guard.awaited);
    while (!guard.awaited->isDone) {
        boost::system::error_code ignored;
        co_await end.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (guard.awaited->failure) {
        std::rethrow_exception(guard.awaited->failure);
    }
}

void background_worker::post(std::function<void()> work)
{
    auto added = std::make_shared<job>();
    added->work = std::move(work);
    add(std::move(added));
}

void background_worker::add(std::shared_ptr<job> added)
{
    const std::scoped_lock lock(m_mutex);
    if (m_isStopped) {
        return;
    }
    m_jobs.push_back(std::move(added));
    m_changed.notify_one();
}

size_t background_worker::unfinished() const
{
    const std::scoped_lock lock(m_mutex);
    return m_jobs.size() + (m_isRunning ? 1 : 0);
}

void background_worker::stop()
{
    std::deque<std::shared_ptr<job>> dropped;
    {
        const std::scoped_lock lock(m_mutex);
        m_isStopped = true;
        dropped.swap(m_jobs);
        m_changed.notify_one();
    }
    if (m_thread.joinable()) {
        m_thread.join();
    }
}

void background_worker::runJobs()
{
    std::unique_lock lock(m_mutex);
    while (true) {
        m_changed.wait(lock, [this] {
            return m_isStopped || !m_jobs.empty();
        });
        if (m_isStopped) {
            return;
        }
        std::shared_ptr<job> current = std::move(m_jobs.front());
        m_jobs.pop_front();
        m_isRunning = true;
        lock.unlock();
        perform(std::move(current));
        lock.lock();
        m_isRunning = false;
    }
}

void background_worker::perform(std::shared_ptr<job> current)
{
    try {
        current->work();
    } catch (...) {
        current->failure = std::current_exception();
    }
    current->work = nullptr;
    asio::post(m_loop, [done = std::move(current)] {
        done->isDone = true;
        if (done->waiter) {
            done->waiter->cancel();
        }
    });
}

} // namespace mustardtrail::gateway
