#pragma once

#include "request/backend_attempt.h"
#include "request/key_home.h"
#include "request/request_core.h"

#include <deque>
#include <map>
#include <memory>
#include <sstream>
#include <string>

namespace mustardtrail::request::testing
{

/// Runs a script of inputs against request cores, key homes and backend attempts, and writes the resulting actions.
/// An input is a line "> MS NAME COMMAND ARGUMENTS"; docs/design/request.md lists the commands.
class session
{
public:
    session();

    /// Returns the script with the actions after each input; keeps comments and drops the actions of an earlier run.
    std::string run(const std::string &script);

private:
    struct node {
        std::unique_ptr<request_core> core;
        std::unique_ptr<key_home> home;
    };

    struct key_message {
        instance_id from;
        request_action action;
    };

    void runInput(std::istringstream &line);
    void runNode(const std::string &name, const std::string &command, std::istringstream &line, time_point now);
    void runAttempt(const std::string &name, const std::string &command, std::istringstream &line, time_point now);
    void startNode(const std::string &name, time_point now);
    void handOverKeys(const std::string &name, const std::vector<key_handover> &handovers, time_point now);
    void deliver(time_point now);
    void fillRequest(const std::string &name, std::istringstream &line, time_point now);
    void write(const std::string &name, const request_core::actions &actions);
    void write(const backend_actions &actions);

    std::map<std::string, node> m_nodes;
    std::map<std::string, std::uint64_t> m_incarnations; ///< Number of starts of each instance.
    std::map<std::string, backend_attempt> m_attempts;
    std::deque<key_message> m_keyMessages;
    std::ostringstream m_out;
};

} // namespace mustardtrail::request::testing
