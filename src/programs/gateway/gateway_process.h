#pragma once

/// Runs the gateway until it has stopped and returns its exit code. Called by its C name from the program, which loads the library.
extern "C" int runGateway(int argc, char **argv);
