#include "config/internal/value_reader.h"

#include "config/config_entry.h"
#include "config/internal/concat.h"
#include "config/internal/json_reader.h"

namespace mustardtrail::config
{

namespace
{

/// Keys that would leave no caller served if their list were empty.
bool needsElements(key_kind kind)
{
    return kind == key_kind::classes || kind == key_kind::customers || kind == key_kind::data_centres;
}

void readElement(const config_key &key, boost::json::value &element, size_t index, element_objects &into, problem_list &problems)
{
    const std::string path = concat({ "[", std::to_string(index), "]" });
    if (!element.is_object()) {
        problems.add({ error_code::config_wrong_type, key.text, path, shortText(element), "{...}" });
        return;
    }
    boost::json::object &object = element.get_object();
    const boost::json::value *id = object.if_contains("id");
    if (id == nullptr) {
        problems.add({ error_code::config_missing_key, key.text, path + ".id", "", "id" });
        return;
    }
    if (!id->is_string()) {
        problems.add({ error_code::config_wrong_type, key.text, path + ".id", shortText(*id), "\"...\"" });
        return;
    }
    std::string text(id->get_string().data(), id->get_string().size());
    if (!isValidId(text)) {
        problems.add({ error_code::config_out_of_range, key.text, path + ".id", shortText(*id), allowedId });
        return;
    }
    if (into.contains(text)) {
        problems.add({ error_code::config_duplicate_id, key.text, text, path, "1" });
        return;
    }
    into.emplace(std::move(text), std::move(object));
}

element_objects readList(const config_key &key, boost::json::value &value, problem_list &problems)
{
    element_objects result;
    if (!value.is_array()) {
        problems.add({ error_code::config_wrong_type, key.text, "", shortText(value), "[...]" });
        return result;
    }
    boost::json::array &elements = value.get_array();
    if (elements.empty() && needsElements(key.kind)) {
        problems.add({ error_code::config_out_of_range, key.text, "", "[]", ">= 1" });
    }
    for (size_t index = 0; index < elements.size(); ++index) {
        readElement(key, elements[index], index, result, problems);
    }
    return result;
}

} // namespace

element_objects readValue(const config_key &key, std::string_view text, problem_list &problems)
{
    if (text.size() > maxValueBytes) {
        problems.add({ error_code::config_too_large,
            key.text,
            "",
            std::to_string(text.size()) + "B",
            concat({ "<= ", std::to_string(maxValueBytes), "B" }) });
        return {};
    }
    tl::expected<boost::json::value, json_failure> value = readJson(text);
    if (!value) {
        const json_failure &failure = value.error();
        problems.add({ failure.code, key.text, failure.path, failure.given, failure.allowed });
        return {};
    }
    if (key.isList()) {
        return readList(key, *value, problems);
    }
    if (!value->is_object()) {
        problems.add({ error_code::config_wrong_type, key.text, "", shortText(*value), "{...}" });
        return {};
    }
    element_objects result;
    result.emplace("", std::move(value->get_object()));
    return result;
}

} // namespace mustardtrail::config
