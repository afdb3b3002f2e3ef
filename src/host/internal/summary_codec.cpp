#include "host/summary_codec.h"

#include <algorithm>
#include <string_view>

namespace mustardtrail::host
{

using std::chrono::milliseconds;

namespace
{

constexpr std::string_view alphabet = "0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz-_";
constexpr unsigned bitsPerNumberDigit = 6;
constexpr unsigned poolNumberDigits = 5;
constexpr unsigned bitsPerVarintDigit = 5;
constexpr std::uint64_t continuationBit = 1U << bitsPerVarintDigit;
constexpr std::uint64_t varintMask = continuationBit - 1;
constexpr unsigned maxVarintBits = 20;
constexpr std::uint64_t maxVarint = (std::uint64_t(1) << maxVarintBits) - 1;
constexpr token_count tokenUnit = 64;
constexpr token_count rateUnit = 16;
constexpr std::uint64_t unreachableValue = maxVarint;

void putNumber(std::string &text, std::uint32_t number)
{
    for (unsigned index = 0; index < poolNumberDigits; ++index) {
        text += alphabet[(number >> (bitsPerNumberDigit * index)) % alphabet.size()];
    }
}

void putVarint(std::string &text, std::int64_t signedValue)
{
    std::uint64_t value = std::min(static_cast<std::uint64_t>(std::max<std::int64_t>(0, signedValue)), maxVarint);
    while (value > varintMask) {
        text += alphabet[(value & varintMask) | continuationBit];
        value >>= bitsPerVarintDigit;
    }
    text += alphabet[value];
}

void putTime(std::string &text, milliseconds time)
{
    const auto limit = static_cast<std::int64_t>(unreachableValue);
    putVarint(text, time >= placement::summaryUnreachable ? limit : std::min(time.count(), limit - 1));
}

class text_reader
{
public:
    explicit text_reader(std::string_view text)
        : m_text(text)
    {
    }

    std::uint32_t number()
    {
        std::uint32_t value = 0;
        for (unsigned index = 0; index < poolNumberDigits; ++index) {
            value |= static_cast<std::uint32_t>(digit()) << (bitsPerNumberDigit * index);
        }
        return value;
    }

    std::int64_t varint()
    {
        std::uint64_t value = 0;
        unsigned shift = 0;
        std::uint64_t part = continuationBit;
        while ((part & continuationBit) != 0 && !m_isMalformed) {
            part = digit();
            value |= (part & varintMask) << shift;
            shift += bitsPerVarintDigit;
            m_isMalformed = m_isMalformed || (shift >= maxVarintBits && (part & continuationBit) != 0);
        }
        return static_cast<std::int64_t>(value);
    }

    milliseconds time()
    {
        const std::int64_t value = varint();
        return value == static_cast<std::int64_t>(unreachableValue) ? placement::summaryUnreachable : milliseconds(value);
    }

    bool isComplete() const
    {
        return !m_isMalformed && m_text.empty();
    }

private:
    std::uint64_t digit()
    {
        const size_t value = m_text.empty() ? std::string_view::npos : alphabet.find(m_text.front());
        if (value == std::string_view::npos) {
            m_isMalformed = true;
            return 0;
        }
        m_text.remove_prefix(1);
        return value;
    }

    std::string_view m_text;
    bool m_isMalformed = false;
};

std::string encodePool(const placement::pool_summary &pool)
{
    std::string text;
    putNumber(text, poolNumber(pool.pool));
    putVarint(text, pool.freeTokens / tokenUnit);
    putVarint(text, pool.queuedPrefillTokens / tokenUnit);
    putVarint(text, pool.prefillTokensPerSecond / rateUnit);
    putVarint(text, pool.freeRequests);
    putTime(text, pool.shortFirstToken);
    putTime(text, pool.longFirstToken);
    return text;
}

std::optional<placement::pool_summary> decodePool(std::string_view text, const pool_directory &pools)
{
    text_reader reader(text);
    const placement::pool_key *key = pools.find(reader.number());
    placement::pool_summary pool;
    pool.freeTokens = reader.varint() * tokenUnit;
    pool.queuedPrefillTokens = reader.varint() * tokenUnit;
    pool.prefillTokensPerSecond = reader.varint() * rateUnit;
    pool.freeRequests = static_cast<int>(reader.varint());
    pool.shortFirstToken = reader.time();
    pool.longFirstToken = reader.time();
    if (key == nullptr || !reader.isComplete()) {
        return std::nullopt;
    }
    pool.pool = *key;
    return pool;
}

} // namespace

std::vector<std::string> encodeSummary(const placement::owner_summary &summary)
{
    std::vector<std::string> texts;
    for (const placement::pool_summary &pool : summary.pools) {
        texts.push_back(encodePool(pool));
    }
    return texts;
}

placement::owner_summary decodeSummary(
    const instance_id &owner, const std::vector<std::string> &texts, const pool_directory &pools, time_point takenAt)
{
    placement::owner_summary summary;
    summary.owner = owner;
    summary.takenAt = takenAt;
    for (const std::string &text : texts) {
        if (const auto pool = decodePool(text, pools)) {
            summary.pools.push_back(*pool);
        }
    }
    return summary;
}

} // namespace mustardtrail::host
