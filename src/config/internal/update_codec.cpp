#include "config/update_codec.h"

#include "config/internal/concat.h"
#include "config/internal/field_reader.h"
#include "config/internal/json_reader.h"

#include <charconv>
#include <functional>

#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::config
{

namespace
{

constexpr std::int64_t mostRevision = std::int64_t{ 1 } << 53; // Exact in every JSON reader.
constexpr std::chrono::milliseconds longestAge = std::chrono::hours(24 * 365);
constexpr int hexadecimal = 16;
constexpr std::int64_t fileRevision = 1;

using read_members = std::function<void(const boost::json::object &, config_update &, problem_list &)>;

void addEntry(std::string key, std::int64_t revision, const boost::json::value &value, config_update &into)
{
    config_entry entry{ std::move(key), revision, std::nullopt };
    if (!value.is_null()) {
        entry.value = boost::json::serialize(value);
    }
    into.entries.push_back(std::move(entry));
}

void readEntry(field_reader &fields, config_update &into)
{
    std::string key = fields.text("key");
    const std::int64_t revision = fields.integer("revision", 1, mostRevision);
    const boost::json::value *value = fields.any("value");
    fields.finish();
    if (value != nullptr) {
        addEntry(std::move(key), revision, *value, into);
    }
}

std::uint64_t readDigest(field_reader &fields)
{
    const std::string digits = fields.text("digest");
    std::uint64_t number = 0;
    const auto [end, failure] = std::from_chars(digits.data(), digits.data() + digits.size(), number, hexadecimal);
    if (failure != std::errc{} || end != digits.data() + digits.size()) {
        fields.report(error_code::config_wrong_type, "digest", shortText(boost::json::string(digits)), "\"0123456789abcdef\"");
    }
    return number;
}

void readPatch(field_reader &fields, config_update &into)
{
    config_patch patch;
    patch.key = fields.text("key");
    patch.revision = fields.integer("revision", 1, mostRevision);
    patch.digest = readDigest(fields);
    if (const boost::json::array *changed = fields.list("changed")) {
        for (const boost::json::value &element : *changed) {
            patch.changed.push_back(boost::json::serialize(element));
        }
    }
    patch.removed = fields.ids("removed");
    fields.finish();
    into.patches.push_back(std::move(patch));
}

void forEach(field_reader &fields, std::string_view name, problem_list &problems, const std::function<void(field_reader &)> &use)
{
    const boost::json::array *items = fields.list(name);
    for (size_t index = 0; items != nullptr && index < items->size(); ++index) {
        const std::string path = concat({ name, "[", std::to_string(index), "]" });
        const boost::json::value &item = (*items)[index];
        if (!item.is_object()) {
            problems.add({ error_code::config_wrong_type, "", path, shortText(item), "{...}" });
            continue;
        }
        field_reader element(item.get_object(), "", path, problems);
        use(element);
    }
}

decoded_update readUpdate(std::string_view text, const read_members &members)
{
    problem_list problems;
    config_update update;
    if (text.size() > maxUpdateBytes) {
        problems.add({ error_code::config_too_large,
            "",
            "",
            std::to_string(text.size()) + "B",
            concat({ "<= ", std::to_string(maxUpdateBytes), "B" }) });
        return tl::unexpected(problems.take());
    }
    const tl::expected<boost::json::value, json_failure> root = readJson(text);
    if (!root) {
        problems.add({ root.error().code, "", root.error().path, root.error().given, root.error().allowed });
        return tl::unexpected(problems.take());
    }
    if (!root->is_object()) {
        problems.add({ error_code::config_wrong_type, "", "", shortText(*root), "{...}" });
        return tl::unexpected(problems.take());
    }
    members(root->get_object(), update, problems);
    if (!problems.empty()) {
        return tl::unexpected(problems.take());
    }
    return update;
}

void readEntries(field_reader &fields, config_update &update, problem_list &problems)
{
    update.revision = fields.integer("revision", 0, mostRevision);
    forEach(fields, "entries", problems, [&update](field_reader &item) {
        readEntry(item, update);
    });
}

void readService(const boost::json::object &object, config_update &update, problem_list &problems)
{
    field_reader fields(object, "", "", problems);
    readEntries(fields, update, problems);
    fields.finish();
}

void readPeer(const boost::json::object &object, config_update &update, problem_list &problems)
{
    field_reader fields(object, "", "", problems);
    readEntries(fields, update, problems);
    update.base = fields.integer("base", 0, mostRevision);
    update.complete = fields.boolean("complete");
    if (fields.has("confirmed_ms")) {
        update.confirmedAgo = std::chrono::milliseconds(fields.integer("confirmed_ms", 0, longestAge.count()));
    }
    forEach(fields, "patches", problems, [&update](field_reader &item) {
        readPatch(item, update);
    });
    fields.finish();
}

void readFile(const boost::json::object &object, config_update &update, problem_list &problems)
{
    update.complete = true;
    if (object.contains("entries")) {
        readService(object, update, problems);
        return;
    }
    update.revision = fileRevision;
    for (const boost::json::key_value_pair &member : object) {
        addEntry({ member.key().data(), member.key().size() }, fileRevision, member.value(), update);
    }
}

} // namespace

decoded_update decodeUpdate(std::string_view text)
{
    return readUpdate(text, readPeer);
}

decoded_update decodeServiceReply(std::string_view text, std::int64_t after)
{
    decoded_update update = readUpdate(text, readService);
    if (update) {
        update->base = after;
        update->complete = after <= 0;
    }
    return update;
}

decoded_update decodeFile(std::string_view text)
{
    return readUpdate(text, readFile);
}

} // namespace mustardtrail::config
