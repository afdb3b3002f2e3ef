#include "proof/tests/operating_page_commands.h"

#include <sstream>

namespace mustardtrail::proof
{

namespace
{

constexpr std::string_view fence = "```";
constexpr std::string_view indentation = "    ";
constexpr std::string_view prompt = "$ ";
constexpr std::string_view exitQuestion = "$ echo $?";
constexpr std::string_view programs = "mustardtrail-";

std::string withoutComment(std::string line)
{
    line.resize(std::min(line.size(), line.find(" #")));
    line.resize(line.find_last_not_of(' ') + 1);
    return line;
}

/// Reads a page line by line and collects its commands.
class page_reader
{
public:
    explicit page_reader(std::string page)
        : m_page(std::move(page))
    {
    }

    void read(const std::string &line)
    {
        if (line.starts_with(fence)) {
            m_fenceLanguage = m_inFence ? "" : line.substr(fence.size());
            m_inFence = !m_inFence;
        } else if (m_inFence && m_fenceLanguage == "console") {
            readConsole(line);
        } else if (m_inFence && m_fenceLanguage != "json") {
            add(line);
        } else if (line.starts_with(indentation)) {
            add(line.substr(indentation.size()));
        } else if (!m_inFence) {
            readSpans(line);
        }
    }

    std::vector<page_command> commands;

private:
    void add(const std::string &line)
    {
        if (const std::string command = withoutComment(line); !command.empty()) {
            commands.push_back({ m_page, command, std::nullopt, std::nullopt });
        }
    }

    void readConsole(const std::string &line)
    {
        if (line == exitQuestion) {
            m_exitComes = true;
        } else if (m_exitComes && !commands.empty()) {
            commands.back().shownExit = std::stoi(line);
            m_exitComes = false;
        } else if (line.starts_with(prompt)) {
            add(line.substr(prompt.size()));
            commands.back().shownOutput = "";
        } else if (!commands.empty() && commands.back().shownOutput) {
            commands.back().shownOutput->append(line + "\n");
        }
    }

    void readSpans(const std::string &line)
    {
        for (size_t start = line.find('`'); start != std::string::npos;) {
            const size_t end = line.find('`', start + 1);
            if (end == std::string::npos) {
                return;
            }
            const std::string span = line.substr(start + 1, end - start - 1);
            if (span.starts_with(programs) && span.find(' ') != std::string::npos) {
                add(span);
            }
            start = line.find('`', end + 1);
        }
    }

    std::string m_page;
    std::string m_fenceLanguage;
    bool m_inFence = false;
    bool m_exitComes = false;
};

} // namespace

std::vector<page_command> commandsOf(const std::string &page, const std::string &text)
{
    page_reader reader(page);
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        reader.read(line);
    }
    return reader.commands;
}

} // namespace mustardtrail::proof
