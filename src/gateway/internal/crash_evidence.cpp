#include "gateway/crash_evidence.h"

namespace mustardtrail::gateway
{

bool mergeEvidence(crash_evidence &known, const crash_evidence &heard, size_t maxParts)
{
    bool isNews = false;
    for (const auto &[part, sentAt] : heard.sentAt) {
        if (known.sentAt.size() < maxParts) {
            isNews = known.sentAt.try_emplace(part, sentAt).second || isNews;
        }
    }
    for (const auto &[part, position] : heard.positions) {
        const auto found = known.positions.find(part);
        const bool isLater = position > (found != known.positions.end() ? found->second : 0);
        if (isLater && known.sentAt.contains(part)) {
            known.positions[part] = position;
            isNews = true;
        }
    }
    for (const prompt_part part : heard.answeredBefore) {
        isNews = (known.sentAt.contains(part) && known.answeredBefore.insert(part).second) || isNews;
    }
    return isNews;
}

} // namespace mustardtrail::gateway
