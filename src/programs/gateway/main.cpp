#include "programs/gateway/gateway_process.h"

#include <csignal>
#include <cstdio>

#include <dlfcn.h>

namespace
{

constexpr char gatewayLibrary[] = "libmustardtrail-gateway.so"; ///< Beside the program.
constexpr int exitNotLinked = 127; ///< Like the dynamic linker's own.

} // namespace

int main(int argc, char **argv)
{
    // The gateway's libraries take many milliseconds to link, and until its handler exists a SIGHUP ends the process. So this program
    // needs the C library alone. A reload that comes now is not lost: the settings are read later.
    std::signal(SIGHUP, SIG_IGN);
    void *const library = ::dlopen(gatewayLibrary, RTLD_LAZY);
    void *const run = library ? ::dlsym(library, "runGateway") : nullptr;
    if (!run) {
        std::fprintf(stderr, "mustardtrail-gateway: %s\n", ::dlerror());
        return exitNotLinked;
    }
    return reinterpret_cast<decltype(&runGateway)>(run)(argc, argv);
}
