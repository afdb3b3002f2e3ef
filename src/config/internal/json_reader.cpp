#include "config/internal/json_reader.h"

#include "config/internal/config_key.h"
#include "config/internal/name_scan.h"

#include <cstdio>

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::config
{

namespace
{

constexpr size_t maxDepth = 16;
constexpr size_t maxShownBytes = 60;
constexpr unsigned char firstByteAboveText = 0x7f;

json_failure syntaxFailure(size_t offset)
{
    return { error_code::config_bad_syntax, "", "byte " + std::to_string(offset), "JSON" };
}

boost::json::parse_options strictOptions()
{
    boost::json::parse_options options;
    options.max_depth = maxDepth;
    return options;
}

/// JSON leaves bytes above ASCII as they are; a terminal might turn text around or hide it.
std::string escaped(const std::string &text)
{
    std::string result;
    for (const char byte : text) {
        if (static_cast<unsigned char>(byte) < firstByteAboveText) {
            result += byte;
            continue;
        }
        char code[5];
        std::snprintf(code, sizeof code, "\\x%02x", static_cast<unsigned>(static_cast<unsigned char>(byte)));
        result += code;
    }
    return result;
}

} // namespace

tl::expected<boost::json::value, json_failure> readJson(std::string_view text)
{
    boost::json::basic_parser<name_scan> scan(strictOptions());
    boost::json::error_code failure;
    const size_t read = scan.write_some(false, text.data(), text.size(), failure);
    if (scan.handler().failure()) {
        return tl::unexpected(*scan.handler().failure());
    }
    if (failure || read != text.size()) {
        return tl::unexpected(syntaxFailure(read));
    }
    boost::json::value value = boost::json::parse(text, failure, {}, strictOptions());
    if (failure) {
        return tl::unexpected(syntaxFailure(0));
    }
    return value;
}

std::string shortText(const boost::json::value &value)
{
    // A long list is cut before it is written out whole.
    if (value.is_array() && value.get_array().size() > maxShownBytes) {
        return "[...]";
    }
    const std::string text = boost::json::serialize(value);
    const std::string shown = escaped(text.substr(0, maxShownBytes));
    return text.size() > maxShownBytes ? shown + "..." : shown;
}

std::string shownName(const std::string &name)
{
    return isValidId(name) ? name : shortText(boost::json::string(name));
}

} // namespace mustardtrail::config
