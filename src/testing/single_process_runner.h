#pragma once

namespace mustardtrail::testing
{

/// Runs registered tests one after another in the current process; the first failure ends it.
class single_process_runner
{
public:
    static bool add(const char *name, void (*body)());
    [[noreturn]] static void fail(const char *file, int line, const char *what);
    static int run();
};

} // namespace mustardtrail::testing
