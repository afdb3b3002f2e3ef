#include "proof/fleet/expected_answer.h"

#include "standin/engine/answer_text.h"

namespace mustardtrail::proof
{

std::string testPrompt(size_t bytes)
{
    std::string prompt;
    while (prompt.size() < bytes) {
        prompt += "pay " + std::to_string(prompt.size()) + " ";
    }
    prompt.resize(bytes);
    return prompt;
}

std::string expectedAnswer(size_t promptBytes, int tokens)
{
    return standin::answerTokens(standin::extendDigest(standin::emptyDigest, testPrompt(promptBytes)), 0, tokens);
}

} // namespace mustardtrail::proof
