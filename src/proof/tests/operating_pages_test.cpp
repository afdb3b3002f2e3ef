#include "proof/tests/operating_page_commands.h"
#include "proof/tests/operating_program_run.h"
#include "proof/tests/test_fleet.h"

#include "testing/expect.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <sstream>

using namespace mustardtrail;
using namespace mustardtrail::proof;
using mustardtrail::testing::expectEqual;

namespace
{

constexpr const char *addressPlace = "IP:PORT";

/// What a command outside a console block has to give.
struct expected_run {
    int exit = 0;
    std::vector<std::string> heads; ///< Lines that the output holds, with runs of spaces as one.
};

/// Commands by their line; one that is missing here fails the test.
const std::map<std::string, expected_run> knownCommands{
    { "mustardtrail-entry --settings entry.ini --check-settings", { 0, {} } },
    { "mustardtrail-ctl dump IP:PORT", { 0, { "state value", "entry instance data centre state", "backend server owner new work" } } },
    { "mustardtrail-ctl --json dump IP:PORT", { 0, {} } },
    { "mustardtrail-ctl codes", { 0, { "code message what to do" } } },
    { "mustardtrail-ctl explain MT-4002", { 0, { "MT-4002 Queue full" } } },
    { "mustardtrail-ctl --language=es", { 2, { "uso: mustardtrail-ctl [--json] [--language=en|es] COMMAND ..." } } },
};

std::string textOfFile(const std::filesystem::path &path)
{
    std::ifstream file(path, std::ios::binary);
    cr_assert(file.good(), "%s", path.c_str());
    return { std::istreambuf_iterator<char>(file), {} };
}

std::vector<std::filesystem::path> pages()
{
    const std::filesystem::path docs = MT_DOCS;
    std::vector<std::filesystem::path> found{ docs / "OPERATING.md" };
    for (const auto &entry : std::filesystem::directory_iterator(docs / "operating")) {
        if (entry.path().extension() == ".md") {
            found.push_back(entry.path());
        }
    }
    return found;
}

std::string joined(const std::vector<std::string> &words)
{
    std::string text;
    for (const std::string &word : words) {
        text += (text.empty() ? "" : " ") + word;
    }
    return text;
}

bool holdsLine(const std::string &text, const std::string &wanted)
{
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        if (joined(wordsOf(line)) == wanted) {
            return true;
        }
    }
    return false;
}

/// Folder with the settings file that the pages name.
class settings_folder
{
public:
    settings_folder()
    {
        std::string pattern = (std::filesystem::temp_directory_path() / "mustardtrail-pages-XXXXXX").string();
        m_path = ::mkdtemp(pattern.data());
        write("entry.ini", "127.0.0.1:9300");
    }

    ~settings_folder()
    {
        std::error_code ignored;
        std::filesystem::remove_all(m_path, ignored);
    }

    void write(const std::string &name, const std::string &callers) const
    {
        std::ofstream(m_path / name) << "[instance]\nid = e1\ndata_centre = dc1\n[entry]\ncallers = " << callers
                                     << "\npeers = 127.0.0.1:9301\nadmin = 127.0.0.1:9302\nview = 127.0.0.1:9303\n";
    }

    std::string path() const
    {
        return m_path.string();
    }

private:
    std::filesystem::path m_path;
};

void expectShown(const page_command &command, const program_run &run)
{
    expectEqual(command.line + "\n" + run.out + run.err, command.line + "\n" + *command.shownOutput);
    cr_assert(command.shownExit.has_value(), "%s: the page shows no exit code", command.line.c_str());
    expectEqual(run.exit, *command.shownExit);
}

void expectKnown(const page_command &command, const program_run &run)
{
    const expected_run &expected = knownCommands.at(command.line);
    expectEqual(command.line + " " + std::to_string(run.exit), command.line + " " + std::to_string(expected.exit));
    for (const std::string &head : expected.heads) {
        cr_assert(holdsLine(run.out + run.err, head), "%s: no line <%s> in\n%s", command.line.c_str(), head.c_str(), run.out.c_str());
    }
}

program_run runAt(const page_command &command, const std::string &address, const std::string &folder)
{
    std::vector<std::string> words = wordsOf(command.line);
    std::ranges::replace(words, std::string(addressPlace), address);
    return runProgram(words, folder);
}

} // namespace

Test(operating_pages, everyCommandRunsAsThePageSays)
{
    const auto fleet = startedFleet();
    const settings_folder settings;
    const std::string examples = std::string(MT_DOCS) + "/operating/examples";
    int commands = 0;
    for (const auto &page : pages()) {
        for (const page_command &command : commandsOf(page.filename(), textOfFile(page))) {
            ++commands;
            if (command.shownOutput) {
                expectShown(command, runProgram(wordsOf(command.line), examples));
                continue;
            }
            cr_assert(knownCommands.contains(command.line), "%s: no test runs <%s>", command.page.c_str(), command.line.c_str());
            expectKnown(command, runAt(command, toString(fleet->instances[0].admin), settings.path()));
        }
    }
    cr_assert(commands >= 14, "%d commands found", commands);
}

Test(operating_pages, theDumpOfEveryProcessIsRead)
{
    const auto fleet = startedFleet();
    for (const endpoint &address : { fleet->instances[0].admin, fleet->instances[0].view }) {
        expectEqual(runProgram({ "mustardtrail-ctl", "dump", toString(address) }, ".").exit, 0);
    }
    for (const char *path : { "/metrics", "/healthz", "/readyz", "/dump" }) {
        http::request_message ask;
        ask.target = path;
        expectEqual(callAndWait(fleet->instances[0].admin, ask, std::chrono::seconds(3)).status, 200);
    }
}

Test(operating_pages, exitCodesOfAProgramAreThoseOfThePage)
{
    const settings_folder settings;
    const std::vector<std::string> command{ "mustardtrail-entry", "--settings", "entry.ini" };
    const auto run = [&](std::vector<std::string> words, const std::string &more) {
        words.push_back(more);
        return runProgram(words, settings.path());
    };
    expectEqual(run(command, "--check-settings").exit, 0);
    expectEqual(run(command, "--unknown").exit, 1);
    settings.write("entry.ini", "nowhere");
    const program_run refused = run(command, "--check-settings");
    expectEqual(refused.exit, 2);
    for (const char *part : { "code=MT-1", "file=", "line=", "key=entry.callers", "given=", "allowed=" }) {
        cr_assert(refused.err.find(part) != std::string::npos, "%s in %s", part, refused.err.c_str());
    }
    boost::asio::io_context context;
    const boost::asio::ip::tcp::acceptor taken(context, { boost::asio::ip::make_address("127.0.0.1"), 0 });
    settings.write("entry.ini", "127.0.0.1:" + std::to_string(taken.local_endpoint().port()));
    expectEqual(runProgram(command, settings.path()).exit, 3);
}

Test(operating_pages, commandsAreFoundInBlocksAndSpans)
{
    const std::string page
        = "text `mustardtrail-ctl codes` and `mustardtrail-view` alone\n\n    mustardtrail-ctl dump IP:PORT   # entry.admin\n\n"
          "```console\n$ mustardtrail-ctl explain X\nshown\n$ echo $?\n2\n```\n```sh\nnew-command\n```\n```json\n{}\n```\n";
    const std::vector<page_command> commands = commandsOf("page.md", page);
    expectEqual(commands.size(), size_t{ 4 });
    expectEqual(commands[0].line, "mustardtrail-ctl codes");
    expectEqual(commands[1].line, "mustardtrail-ctl dump IP:PORT");
    expectEqual(commands[2].line, "mustardtrail-ctl explain X");
    expectEqual(*commands[2].shownOutput, "shown\n");
    expectEqual(*commands[2].shownExit, 2);
    expectEqual(commands[3].line, "new-command");
}
