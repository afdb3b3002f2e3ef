#include "programs/gateway/change_decoding.h"

#include "platform/published_changes.h"
#include "platform/store_reply.h"
#include "programs/gateway/relayed_changes.h"

namespace mustardtrail::gateway
{

namespace
{

std::vector<published_change> publishedAfter(const std::vector<platform::store_change> &changes, std::optional<std::uint64_t> revision)
{
    std::vector<published_change> published;
    for (const platform::store_change &change : changes) {
        if (revision && change.revision <= *revision) {
            continue;
        }
        if (auto known = platform::readPublishedChange(change)) {
            published.push_back(std::move(*known));
        }
    }
    return published;
}

} // namespace

result<decoded_answer> decodeAnswer(store_query::kind asked, std::string body, std::uint64_t afterRevision, bool isForRelay)
{
    const bool isList = asked == store_query::kind::list;
    auto reply = isList ? platform::readListReply(body) : platform::readWatchReply(body);
    if (!reply) {
        return tl::unexpected(reply.error());
    }
    body = std::string(); // Megabytes, needed no more.
    decoded_answer answer;
    answer.changes = publishedAfter(reply->changes, isList ? std::nullopt : std::optional(afterRevision));
    answer.count = reply->changes.size();
    answer.lastKey = reply->changes.empty() ? std::string() : reply->changes.back().key;
    answer.revision = reply->revision;
    answer.hasMore = reply->hasMore;
    answer.unreadableItems = std::move(reply->unreadableItems);
    if (isForRelay) {
        answer.forRelay = encodeRelayedChanges(reply->changes);
    }
    return answer;
}

std::optional<std::vector<published_change>> decodeRelay(const std::string &bytes, std::uint64_t afterRevision)
{
    const auto changes = decodeRelayedChanges(bytes);
    if (!changes) {
        return std::nullopt;
    }
    return publishedAfter(*changes, afterRevision);
}

} // namespace mustardtrail::gateway
