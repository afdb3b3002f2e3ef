#pragma once

#include <memory>
#include <string>
#include <vector>

namespace mustardtrail::proof
{

/// One program of the fleet; ended by its own id only.
class managed_process
{
public:
    managed_process(const std::string &program, const std::string &settingsFile, const std::string &logFile);
    managed_process(const std::string &program, const std::vector<std::string> &arguments, const std::string &logFile);
    ~managed_process();
    managed_process(managed_process &&) noexcept;

    void signal(int number);
    /// SIGKILL.
    void kill();
    /// Waits for the end; the exit code, or -1 when it was killed or did not end in time.
    int wait(int seconds);
    bool isRunning();
    int processId() const;

private:
    struct child_state;
    std::unique_ptr<child_state> m_child;
};

} // namespace mustardtrail::proof
