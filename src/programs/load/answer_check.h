#pragma once

#include "http/header_list.h"
#include "programs/load/request_outcome.h"

#include <cstdint>
#include <string>

namespace mustardtrail::load
{

/// Prompt of a request: the same for the same seed, number and length.
std::string promptText(std::uint64_t seed, std::uint64_t number, std::int64_t tokens);

/// Answer that the stand-in engines give.
std::string expectedText(const std::string &prompt, int answerTokens);

/// A streamed answer, gathered piece by piece.
struct gathered_answer {
    int status = 0;
    http::header_list headers;
    std::string text; ///< Pieces of the answer, joined.
    std::string errorBody; ///< Body of an answer that is not a stream.
    std::string streamError; ///< Code of an error event inside the stream.
    bool sawEnd = false; ///< The closing event came.
    bool isWhole = false; ///< The connection's framing ended as announced.
};

/// Takes one event of the stream into the answer.
void takeEvent(gathered_answer &answer, const std::string &data);

/// Sorts an answer into finished, refused and failed; an empty expected text is not compared.
request_outcome judge(const gathered_answer &answer, const std::string &expected);

} // namespace mustardtrail::load
