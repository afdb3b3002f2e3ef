#include "testing/single_process_runner.h"

#include <cstdio>
#include <cstdlib>
#include <vector>

namespace mustardtrail::testing
{

namespace
{

struct registered_test {
    const char *name;
    void (*body)();
};

std::vector<registered_test> &registry()
{
    static std::vector<registered_test> tests;
    return tests;
}

} // namespace

bool single_process_runner::add(const char *name, void (*body)())
{
    registry().push_back({ name, body });
    return true;
}

void single_process_runner::fail(const char *file, int line, const char *what)
{
    std::fprintf(stderr, "%s:%d: %s\n", file, line, what);
    std::exit(EXIT_FAILURE);
}

int single_process_runner::run()
{
    for (const registered_test &test : registry()) {
        std::fprintf(stderr, "run %s\n", test.name);
        test.body();
    }
    std::fprintf(stderr, "%zu passed, 0 failed\n", registry().size());
    return registry().empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

} // namespace mustardtrail::testing

int main()
{
    return mustardtrail::testing::single_process_runner::run();
}
