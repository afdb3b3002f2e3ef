#include "config/internal/json_reader.h"

#include "config/internal/name_scan.h"

#include <boost/json/basic_parser_impl.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

namespace mustardtrail::config
{

namespace
{

constexpr size_t maxDepth = 16;
constexpr size_t maxShownBytes = 60;

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
    std::string text = boost::json::serialize(value);
    if (text.size() <= maxShownBytes) {
        return text;
    }
    size_t end = maxShownBytes;
    while (end > 0 && (static_cast<unsigned char>(text[end]) & 0xC0U) == 0x80U) {
        --end;
    }
    return text.substr(0, end) + "...";
}

} // namespace mustardtrail::config
