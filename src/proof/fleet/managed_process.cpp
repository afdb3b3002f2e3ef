#include "proof/fleet/managed_process.h"

#include <boost/process/args.hpp>
#include <boost/process/child.hpp>
#include <boost/process/extend.hpp>
#include <boost/process/io.hpp>

#include <sys/prctl.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <thread>

namespace mustardtrail::proof
{

namespace process = boost::process;

namespace
{

constexpr std::chrono::milliseconds waitPause{ 10 };

/// Ends the child with its parent: a test that fails leaves without running destructors.
struct end_with_parent : process::extend::handler {
    template<typename executor> void on_exec_setup(executor &) const // NOLINT(readability-identifier-naming)
    {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    }
};

/// The child keeps none of the parent's sockets open.
struct without_files_of_parent : process::extend::handler {
    template<typename executor> void on_exec_setup(executor &) const // NOLINT(readability-identifier-naming)
    {
        ::close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
    }
};

} // namespace

struct managed_process::child_state {
    process::child child;
};

managed_process::managed_process(const std::string &program, const std::string &settingsFile, const std::string &logFile)
    : managed_process(program, std::vector<std::string>{ "--settings", settingsFile }, logFile)
{
}

managed_process::managed_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile)
    : m_child(std::make_unique<child_state>())
{
    m_child->child = process::child(program,
        process::args(arguments),
        (process::std_out & process::std_err) > logFile,
        process::std_in < process::null,
        end_with_parent(),
        without_files_of_parent());
}

managed_process::managed_process(managed_process &&) noexcept = default;

managed_process::~managed_process()
{
    if (m_child && isRunning()) {
        kill();
    }
}

void managed_process::signal(int number)
{
    if (isRunning()) {
        ::kill(m_child->child.id(), number);
    }
}

void managed_process::kill()
{
    signal(SIGKILL);
    std::error_code ignored;
    m_child->child.wait(ignored);
}

// The library's own wait with a limit can miss the end of a child when several end together.
int managed_process::wait(int seconds)
{
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(seconds);
    while (isRunning()) {
        if (std::chrono::steady_clock::now() >= end) {
            return -1;
        }
        std::this_thread::sleep_for(waitPause);
    }
    return m_child->child.exit_code();
}

bool managed_process::isRunning()
{
    std::error_code failure;
    return m_child->child.valid() && m_child->child.running(failure);
}

int managed_process::processId() const
{
    return m_child->child.id();
}

} // namespace mustardtrail::proof
