#include "proof/fleet/managed_process.h"

#include <boost/process/child.hpp>
#include <boost/process/io.hpp>

#include <csignal>

namespace mustardtrail::proof
{

namespace process = boost::process;

struct managed_process::child_state {
    process::child child;
};

managed_process::managed_process(const std::string &program, const std::string &settingsFile, const std::string &logFile)
    : m_child(std::make_unique<child_state>())
{
    m_child->child = process::child(
        program, "--settings", settingsFile, (process::std_out & process::std_err) > logFile, process::std_in < process::null);
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

int managed_process::wait(int seconds)
{
    std::error_code failure;
    if (!m_child->child.wait_for(std::chrono::seconds(seconds), failure) || failure) {
        return -1;
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
