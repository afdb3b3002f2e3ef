#include "config/update_codec.h"

#include "config/internal/concat.h"

#include <cstdio>

#include <boost/json/serialize.hpp>
#include <boost/json/string.hpp>

namespace mustardtrail::config
{

namespace
{

std::string quoted(const std::string &text)
{
    return boost::json::serialize(boost::json::string(text));
}

std::string digestText(std::uint64_t digest)
{
    char text[17];
    std::snprintf(text, sizeof text, "%016llx", static_cast<unsigned long long>(digest));
    return text;
}

std::string heading(const std::string &key, std::int64_t revision)
{
    return concat({ R"({"key":)", quoted(key), R"(,"revision":)", std::to_string(revision) });
}

std::string encodeEntry(const config_entry &entry)
{
    return concat({ heading(entry.key, entry.revision), R"(,"value":)", entry.value ? *entry.value : "null", "}" });
}

template<typename element> std::string joined(const std::vector<element> &elements, std::string (*write)(const element &))
{
    std::string text;
    for (const element &item : elements) {
        text += text.empty() ? "" : ",";
        text += write(item);
    }
    return text;
}

std::string asItIs(const std::string &text)
{
    return text;
}

std::string encodePatch(const config_patch &patch)
{
    return concat({ heading(patch.key, patch.revision),
        R"(,"digest":")",
        digestText(patch.digest),
        R"(","changed":[)",
        joined(patch.changed, asItIs),
        R"(],"removed":[)",
        joined(patch.removed, quoted),
        "]}" });
}

} // namespace

std::string encodeUpdate(const config_update &update)
{
    std::string confirmed;
    if (update.confirmedAgo) {
        confirmed = concat({ R"(,"confirmed_ms":)", std::to_string(update.confirmedAgo->count()) });
    }
    return concat({ R"({"revision":)",
        std::to_string(update.revision),
        R"(,"base":)",
        std::to_string(update.base),
        R"(,"complete":)",
        update.complete ? "true" : "false",
        confirmed,
        R"(,"entries":[)",
        joined(update.entries, encodeEntry),
        R"(],"patches":[)",
        joined(update.patches, encodePatch),
        "]}" });
}

} // namespace mustardtrail::config
