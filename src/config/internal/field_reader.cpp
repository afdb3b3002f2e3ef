#include "config/internal/field_reader.h"

#include "config/duration_text.h"
#include "config/internal/config_key.h"
#include "config/internal/json_reader.h"

#include <algorithm>
#include <set>

namespace mustardtrail::config
{

namespace
{

// Types are named by an example of their JSON text, which needs no translation.
constexpr const char *anyText = "\"...\"";
constexpr const char *anyBoolean = "true | false";
constexpr const char *anyInteger = "123";
constexpr const char *anyDuration = "\"300ms\" | \"5s\" | \"2min\" | \"1h\"";
constexpr const char *anyBytes = "123 | \"500MB\" | \"2GB\"";
constexpr const char *anyList = "[...]";
constexpr const char *anyAddress = "IP:PORT";

std::string joined(const std::vector<std::string_view> &words)
{
    std::string result;
    for (const std::string_view word : words) {
        result += result.empty() ? "" : " | ";
        result += word;
    }
    return result;
}

std::string range(std::int64_t least, std::int64_t most)
{
    return std::to_string(least) + ".." + std::to_string(most);
}

} // namespace

field_reader::field_reader(const boost::json::object &object, std::string key, std::string path, problem_list &problems)
    : m_object(object)
    , m_key(std::move(key))
    , m_path(std::move(path))
    , m_problems(problems)
{
}

std::string field_reader::id(std::string_view name)
{
    const boost::json::string *text = findText(name);
    if (text == nullptr) {
        return {};
    }
    const std::string_view view(text->data(), text->size());
    if (!isValidId(view)) {
        report(error_code::config_out_of_range, name, shortText(*text), allowedId);
        return {};
    }
    return std::string(view);
}

bool field_reader::boolean(std::string_view name)
{
    const boost::json::value *value = any(name);
    if (value == nullptr) {
        return false;
    }
    if (!value->is_bool()) {
        report(error_code::config_wrong_type, name, shortText(*value), anyBoolean);
        return false;
    }
    return value->get_bool();
}

std::int64_t field_reader::integer(std::string_view name, std::int64_t least, std::int64_t most)
{
    const boost::json::value *value = any(name);
    if (value == nullptr) {
        return {};
    }
    if (value->is_uint64()) {
        report(error_code::config_out_of_range, name, shortText(*value), range(least, most));
        return {};
    }
    if (!value->is_int64()) {
        report(error_code::config_wrong_type, name, shortText(*value), anyInteger);
        return {};
    }
    return checkRange(name, value->get_int64(), least, most) ? value->get_int64() : 0;
}

std::chrono::milliseconds field_reader::duration(std::string_view name, std::chrono::milliseconds least, std::chrono::milliseconds most)
{
    const boost::json::string *text = findText(name);
    if (text == nullptr) {
        return {};
    }
    const std::optional<std::chrono::milliseconds> value = durationFromText({ text->data(), text->size() });
    if (!value) {
        report(error_code::config_bad_unit, name, shortText(*text), anyDuration);
        return {};
    }
    if (*value < least || *value > most) {
        report(error_code::config_out_of_range, name, shortText(*text), durationToText(least) + ".." + durationToText(most));
        return {};
    }
    return *value;
}

std::int64_t field_reader::bytes(std::string_view name, std::int64_t least, std::int64_t most)
{
    const boost::json::value *value = any(name);
    if (value == nullptr) {
        return {};
    }
    std::optional<std::int64_t> number;
    if (value->is_int64()) {
        number = value->get_int64();
    } else if (value->is_string()) {
        number = bytesFromText({ value->get_string().data(), value->get_string().size() });
    }
    if (!number) {
        report(value->is_string() ? error_code::config_bad_unit : error_code::config_wrong_type, name, shortText(*value), anyBytes);
        return {};
    }
    if (*number < least || *number > most) {
        report(error_code::config_out_of_range, name, shortText(*value), bytesToText(least) + ".." + bytesToText(most));
        return {};
    }
    return *number;
}

std::vector<std::string> field_reader::ids(std::string_view name)
{
    std::vector<std::string> result;
    const boost::json::array *elements = list(name);
    if (elements == nullptr) {
        return result;
    }
    std::set<std::string_view> seen;
    for (const boost::json::value &element : *elements) {
        if (!element.is_string()) {
            report(error_code::config_wrong_type, name, shortText(element), anyText);
            continue;
        }
        const std::string_view text(element.get_string().data(), element.get_string().size());
        if (!isValidId(text)) {
            report(error_code::config_out_of_range, name, shortText(element), allowedId);
            continue;
        }
        if (!seen.insert(text).second) {
            report(error_code::config_duplicate_id, name, shortText(element), "1");
            continue;
        }
        result.emplace_back(text);
    }
    return result;
}

std::string field_reader::choice(std::string_view name, const std::vector<std::string_view> &words)
{
    const boost::json::string *text = findText(name);
    if (text == nullptr) {
        return {};
    }
    const std::string_view view(text->data(), text->size());
    if (std::find(words.begin(), words.end(), view) == words.end()) {
        report(error_code::config_out_of_range, name, shortText(*text), joined(words));
        return {};
    }
    return std::string(view);
}

endpoint field_reader::address(std::string_view name)
{
    const boost::json::string *text = findText(name);
    if (text == nullptr) {
        return {};
    }
    const std::optional<endpoint> value = endpointFromString({ text->data(), text->size() });
    if (!value) {
        report(error_code::config_out_of_range, name, shortText(*text), anyAddress);
        return {};
    }
    return *value;
}

std::string field_reader::text(std::string_view name)
{
    const boost::json::string *found = findText(name);
    return found == nullptr ? std::string() : std::string(found->data(), found->size());
}

const boost::json::array *field_reader::list(std::string_view name)
{
    const boost::json::value *value = any(name);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_array()) {
        report(error_code::config_wrong_type, name, shortText(*value), anyList);
        return nullptr;
    }
    return &value->get_array();
}

bool field_reader::has(std::string_view name) const
{
    return m_object.contains({ name.data(), name.size() });
}

void field_reader::skipUnknown()
{
    m_skipUnknown = true;
}

void field_reader::finish()
{
    if (m_skipUnknown) {
        return;
    }
    for (const boost::json::key_value_pair &member : m_object) {
        const std::string_view name(member.key().data(), member.key().size());
        if (std::find(m_known.begin(), m_known.end(), name) == m_known.end()) {
            report(error_code::config_unknown_key, {}, shortText(boost::json::value(member.key())), joined(m_known));
        }
    }
}

const boost::json::value *field_reader::any(std::string_view name)
{
    m_known.push_back(name);
    const boost::json::value *value = m_object.if_contains({ name.data(), name.size() });
    if (value == nullptr) {
        report(error_code::config_missing_key, name, "", std::string(name));
    }
    return value;
}

const boost::json::string *field_reader::findText(std::string_view name)
{
    const boost::json::value *value = any(name);
    if (value == nullptr) {
        return nullptr;
    }
    if (!value->is_string()) {
        report(error_code::config_wrong_type, name, shortText(*value), anyText);
        return nullptr;
    }
    return &value->get_string();
}

std::string field_reader::pathOf(std::string_view name) const
{
    if (m_path.empty() || name.empty()) {
        return m_path + std::string(name);
    }
    return m_path + "." + std::string(name);
}

void field_reader::report(error_code code, std::string_view name, std::string given, std::string allowed)
{
    m_problems.add({ code, m_key, pathOf(name), std::move(given), std::move(allowed) });
}

bool field_reader::checkRange(std::string_view name, std::int64_t value, std::int64_t least, std::int64_t most)
{
    if (value >= least && value <= most) {
        return true;
    }
    report(error_code::config_out_of_range, name, std::to_string(value), range(least, most));
    return false;
}

} // namespace mustardtrail::config
