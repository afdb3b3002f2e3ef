#pragma once

#include "programs/gateway/background_worker.h"

#include <future>

namespace mustardtrail::gateway::testing
{

/// Keeps a worker's thread from further work until it is opened or destroyed.
class worker_gate
{
public:
    explicit worker_gate(background_worker &worker)
    {
        worker.post([opened = m_gate.get_future().share()] {
            opened.wait();
        });
    }

    ~worker_gate()
    {
        open();
    }

    worker_gate(const worker_gate &) = delete;
    worker_gate &operator=(const worker_gate &) = delete;

    void open()
    {
        if (!m_isOpen) {
            m_gate.set_value();
        }
        m_isOpen = true;
    }

private:
    std::promise<void> m_gate;
    bool m_isOpen = false;
};

} // namespace mustardtrail::gateway::testing
