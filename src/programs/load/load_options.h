#pragma once

#include "base/endpoint.h"
#include "base/error.h"
#include "base/units.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace mustardtrail::load
{

/// Load to make, the same in both phases but for the long prompts.
struct load_options {
    std::vector<endpoint> entries;
    std::vector<std::string> customers;
    std::string shortClass;
    std::string middleClass;
    std::string longClass;
    std::string model;
    double requestsPerSecond = 0;
    std::chrono::seconds duration{ 0 }; ///< Of one phase.
    std::uint64_t seed = 0;
    std::uint64_t longOneIn = 0; ///< One request in so many has a prompt over 100,000 tokens.
    token_count longestPrompt = 0;
    int answerTokens = 0;
    int threads = 0;
    bool checksText = false; ///< Compares with the answers of the stand-in engines.
};

/// The option at fault with what is allowed, or the options themselves.
result<load_options> checked(load_options options);

} // namespace mustardtrail::load
