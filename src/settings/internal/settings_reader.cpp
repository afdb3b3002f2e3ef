#include "settings/settings_reader.h"

#include "settings/quantity.h"

#include <ini.h>

#include <algorithm>
#include <cstring>
#include <fstream>
#include <map>
#include <optional>
#include <sstream>

namespace mustardtrail::settings
{

namespace
{

constexpr std::string_view durationUnits = "number with ms, s, min or h";
constexpr std::string_view sizeUnits = "number with B, KiB, MiB or GiB";

/// Key as found in the file.
struct found_key {
    std::string value;
    int line = 0;
};

struct parse_state {
    std::string_view rest;
    int line = 0; ///< Of the last line handed to the library.
    const std::string *fileName = nullptr;
    const std::vector<setting_rule> *rules = nullptr;
    std::map<std::string, found_key> found;
    std::vector<settings_problem> problems;

    void problem(error_code code, const std::string &key, std::string given, std::string allowed)
    {
        problems.push_back({ code, *fileName, line, key, std::move(given), std::move(allowed) });
    }
};

// The library asks for one line at a time, so the count of lines handed out is the line of the next key.
char *nextLine(char *buffer, int size, void *stream)
{
    auto &state = *static_cast<parse_state *>(stream);
    if (state.rest.empty()) {
        return nullptr;
    }
    const size_t newline = state.rest.find('\n');
    const size_t length = newline == std::string_view::npos ? state.rest.size() : newline + 1;
    ++state.line;
    const size_t copied = std::min(length, static_cast<size_t>(size) - 1);
    if (copied < length) {
        state.problem(error_code::settings_bad_syntax, "", "line of " + std::to_string(length) + " bytes", "at most 198 bytes");
    }
    // The library would take the line for shorter than it is.
    if (state.rest.substr(0, length).find('\0') != std::string_view::npos) {
        state.problem(error_code::settings_bad_syntax, "", "a zero byte", "text");
    }
    std::memcpy(buffer, state.rest.data(), copied);
    buffer[copied] = '\0';
    state.rest.remove_prefix(length);
    return buffer;
}

int takeKey(void *user, const char *section, const char *name, const char *value)
{
    auto &state = *static_cast<parse_state *>(user);
    const std::string key = std::string(section) + "." + name;
    const auto known = [&](const setting_rule &rule) {
        return rule.key == key;
    };
    if (std::none_of(state.rules->begin(), state.rules->end(), known)) {
        state.problem(error_code::settings_unknown_key, key, value, "a listed key; see --help");
        return 1;
    }
    if (const auto earlier = state.found.find(key); earlier != state.found.end()) {
        state.problem(error_code::settings_duplicate_key, key, value, "once; first at line " + std::to_string(earlier->second.line));
        return 1;
    }
    state.found[key] = found_key{ value, state.line };
    return 1;
}

std::string rangeText(const setting_rule &rule, std::string_view unitName)
{
    std::string text = std::to_string(rule.least) + ".." + std::to_string(rule.most);
    text.append(unitName.empty() ? "" : " ").append(unitName);
    return text;
}

std::string joinedChoices(const setting_rule &rule)
{
    std::string text;
    for (const std::string &choice : rule.choices) {
        text += (text.empty() ? "" : " | ") + choice;
    }
    return text;
}

struct checked_value {
    std::int64_t number = 0;
    error_code code = error_code::none;
    std::string allowed;
};

checked_value checkNumber(const setting_rule &rule, std::optional<std::int64_t> number, std::string_view format, std::string_view unitName)
{
    if (!number) {
        return { 0, error_code::settings_bad_unit, std::string(format) };
    }
    if (*number < rule.least || *number > rule.most) {
        return { 0, error_code::settings_out_of_range, rangeText(rule, unitName) };
    }
    return { *number, error_code::none, "" };
}

checked_value checkFraction(const setting_rule &rule, const std::string &text)
{
    constexpr double millionths = 1e6;
    checked_value checked = checkNumber(rule, millionthsFromText(text), "decimal number", "");
    if (checked.code == error_code::settings_out_of_range) {
        std::ostringstream range;
        range << static_cast<double>(rule.least) / millionths << ".." << static_cast<double>(rule.most) / millionths;
        checked.allowed = range.str();
    }
    return checked;
}

checked_value checkAddresses(const std::string &text)
{
    std::istringstream parts(text);
    std::string part;
    while (std::getline(parts, part, ',')) {
        part.erase(0, part.find_first_not_of(' '));
        part.erase(part.find_last_not_of(' ') + 1);
        if (!endpointFromString(part)) {
            return { 0, error_code::settings_out_of_range, "IP:PORT, IP:PORT" };
        }
    }
    return {};
}

checked_value checkValue(const setting_rule &rule, const std::string &text)
{
    switch (rule.kind) {
    case setting_kind::text:
        return {};
    case setting_kind::choice:
        if (std::find(rule.choices.begin(), rule.choices.end(), text) == rule.choices.end()) {
            return { 0, error_code::settings_out_of_range, joinedChoices(rule) };
        }
        return {};
    case setting_kind::address:
        return endpointFromString(text) ? checked_value{} : checked_value{ 0, error_code::settings_out_of_range, "IP:PORT" };
    case setting_kind::address_list:
        return checkAddresses(text);
    case setting_kind::duration:
        return checkNumber(rule, millisecondsFromText(text), durationUnits, "ms");
    case setting_kind::size:
        return checkNumber(rule, bytesFromText(text), sizeUnits, "B");
    case setting_kind::count:
        return checkNumber(rule, countFromText(text), "whole number", "");
    case setting_kind::fraction:
        return checkFraction(rule, text);
    }
    return {};
}

void takeRule(const setting_rule &rule, parse_state &state, settings_values &values)
{
    const auto given = state.found.find(rule.key);
    if (given == state.found.end() && rule.required) {
        state.line = 0;
        state.problem(error_code::settings_missing_key, rule.key, "", "a value");
        return;
    }
    const bool absent = given == state.found.end();
    const std::string text = absent ? rule.fallback : given->second.value;
    if (absent && text.empty()) {
        values.set(rule.key, "", 0);
        return;
    }
    const checked_value checked = checkValue(rule, text);
    if (checked.code != error_code::none) {
        state.line = absent ? 0 : given->second.line;
        state.problem(checked.code, rule.key, text, checked.allowed);
        return;
    }
    values.set(rule.key, text, checked.number);
}

} // namespace

settings_result readSettings(std::string_view text, const std::string &fileName, const std::vector<setting_rule> &rules)
{
    parse_state state;
    state.rest = text;
    state.fileName = &fileName;
    state.rules = &rules;
    const int badLine = ini_parse_stream(nextLine, &state, takeKey, &state);
    if (badLine > 0) {
        state.line = badLine;
        state.problem(error_code::settings_bad_syntax, "", "", "[section] or key = value");
    }
    settings_values values;
    for (const setting_rule &rule : rules) {
        takeRule(rule, state, values);
    }
    if (state.problems.empty()) {
        return values;
    }
    const auto byLine = [](const settings_problem &left, const settings_problem &right) {
        return left.line < right.line;
    };
    std::stable_sort(state.problems.begin(), state.problems.end(), byLine);
    return tl::unexpected(state.problems);
}

settings_result readSettingsFile(const std::string &fileName, const std::vector<setting_rule> &rules)
{
    std::ifstream file(fileName, std::ios::binary);
    std::ostringstream text;
    if (!file || !(text << file.rdbuf())) {
        return tl::unexpected(
            std::vector<settings_problem>{ { error_code::settings_unreadable, fileName, 0, "", "", "a readable, non-empty file" } });
    }
    return readSettings(text.str(), fileName, rules);
}

} // namespace mustardtrail::settings
