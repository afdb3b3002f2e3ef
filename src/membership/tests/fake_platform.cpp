#include "tests/fake_platform.h"

#include <algorithm>

namespace mustardtrail::membership
{

namespace
{

constexpr int firstServerPort = 9000;

std::string quoted(std::string_view text)
{
    return joined({ "\"", text, "\"" });
}

std::string member(std::string_view key, std::string_view value)
{
    return joined({ "\"", key, "\":", value });
}

std::string addressOf(const endpoint &value)
{
    return quoted(value.address.empty() ? "" : toString(value));
}

std::string entryText(const live_list_entry &entry)
{
    return joined({ "{",
        member("id", quoted(entry.id)),
        ",",
        member("kind", quoted(entry.kind == listing_kind::instance ? "entry" : "backend")),
        ",",
        member("data_centre", quoted(entry.dataCentre.str())),
        ",",
        member("requests", addressOf(entry.requests)),
        ",",
        member("heartbeats", addressOf(entry.heartbeats)),
        ",",
        member("state", quoted(entry.state == listing_state::live ? "live" : "leaving")),
        ",",
        member("incarnation", std::to_string(entry.incarnation)),
        "}" });
}

std::string entryText(std::string_view key, std::int64_t revision, std::string_view value)
{
    return joined({ "{", member("key", quoted(key)), ",", member("revision", std::to_string(revision)), ",", member("value", value), "}" });
}

std::string arrayOf(const std::vector<std::string> &elements)
{
    std::string text = "[";
    for (const std::string &element : elements) {
        text += text.size() > 1 ? "," : "";
        text += element;
    }
    text += "]";
    return text;
}

} // namespace

std::string joined(std::initializer_list<std::string_view> parts)
{
    std::string text;
    for (const std::string_view part : parts) {
        text.append(part);
    }
    return text;
}

void fake_platform::set(const std::string &key, const std::string &value)
{
    m_values[key] = { ++m_revision, value };
}

std::int64_t fake_platform::revision() const
{
    return m_revision;
}

std::string fake_platform::reply(std::int64_t after) const
{
    if (configMode == mode::garbage) {
        return R"({"revision":99,"entries":[{"key":"cla)";
    }
    if (configMode == mode::older) {
        return R"({"revision":1,"entries":[]})";
    }
    std::vector<std::string> changed;
    for (const auto &[key, entry] : m_values) {
        if (entry.revision > after) {
            changed.push_back(entryText(key, entry.revision, entry.value));
        }
    }
    return joined({ "{", member("revision", std::to_string(m_revision)), ",", member("entries", arrayOf(changed)), "}" });
}

std::string fake_platform::list() const
{
    if (listMode == mode::garbage) {
        return R"({"entries":[{"id":)";
    }
    std::vector<std::string> shown;
    for (const auto &[id, entry] : entries) {
        live_list_entry copy = entry;
        copy.incarnation -= listMode == mode::older ? 1 : 0;
        if (listMode != mode::empty) {
            shown.push_back(entryText(copy));
        }
    }
    return joined({ "{", member("entries", arrayOf(shown)), "}" });
}

std::string dataCentreName(int index)
{
    return joined({ "dc", std::to_string(index + 1) });
}

std::string instanceName(int index)
{
    return joined({ "e", std::to_string(index + 1) });
}

std::string serverName(int dataCentre, int server)
{
    return joined({ "g", std::to_string(dataCentre + 1), "-", std::to_string(server + 1) });
}

std::string dataCentresValue(int dataCentres, const std::vector<int> &out)
{
    std::vector<std::string> elements;
    for (int index = 0; index < dataCentres; ++index) {
        const bool inService = std::find(out.begin(), out.end(), index) == out.end();
        elements.push_back(joined(
            { "{", member("id", quoted(dataCentreName(index))), R"(,"region":"r1","in_service":)", inService ? "true" : "false", "}" }));
    }
    return arrayOf(elements);
}

std::string serversValue(int dataCentre, int servers, const std::string &outOfService)
{
    std::vector<std::string> elements;
    for (int index = 0; index < servers; ++index) {
        const std::string id = serverName(dataCentre, index);
        elements.push_back(joined({ "{",
            member("id", quoted(id)),
            R"(,"kind":"engine","address":"127.0.)",
            std::to_string(dataCentre),
            ".1:",
            std::to_string(firstServerPort + index),
            R"(","in_service":)",
            id == outOfService ? "false" : "true",
            R"(,"models":["pay"],"model_version":"1","checks_fencing":true,"memory_tokens":300000,"cold_requests":2,"warm_requests":32})" }));
    }
    return arrayOf(elements);
}

} // namespace mustardtrail::membership
