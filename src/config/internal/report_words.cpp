#include "config/internal/report_words.h"

#include "config/internal/concat.h"

#include <algorithm>
#include <cctype>

namespace mustardtrail::config
{

std::string_view nameOf(change_subject value)
{
    switch (value) {
    case change_subject::data_centre:
        return "data_centre";
    case change_subject::instance:
        return "instance";
    case change_subject::backend_server:
        return "backend_server";
    case change_subject::work_class:
        return "work_class";
    case change_subject::customer:
        return "customer";
    case change_subject::model:
        return "model";
    case change_subject::weight_store:
        return "weight_store";
    }
    return "";
}

std::string_view nameOf(change_kind value)
{
    switch (value) {
    case change_kind::added:
        return "added";
    case change_kind::removed:
        return "removed";
    case change_kind::drains:
        return "drains";
    case change_kind::returns:
        return "returns";
    case change_kind::changed:
        return "changed";
    case change_kind::more:
        return "more";
    }
    return "";
}

std::string signText(change_sign sign)
{
    return std::string(1, static_cast<char>(sign));
}

message_values valuesOf(const preview_warning &warning)
{
    return { { "id", warning.id }, { "before", warning.before }, { "after", warning.after } };
}

std::vector<std::string> heading(std::initializer_list<std::string_view> names, language in)
{
    std::vector<std::string> result;
    for (const std::string_view name : names) {
        result.emplace_back(word(name, in));
    }
    return result;
}

std::string orDash(const std::string &text)
{
    return text.empty() ? "-" : text;
}

std::string withUnit(const std::string &value, const std::string &unit, language in)
{
    // A target stands beside a count of engines; only the count takes the unit.
    const bool isCount = !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char c) {
        return std::isdigit(c) != 0;
    });
    if (unit.empty() || !isCount) {
        return orDash(value);
    }
    return concat({ word(unit, in), ": ", value });
}

} // namespace mustardtrail::config
