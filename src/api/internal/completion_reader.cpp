#include "api/completion_reader.h"

#include "api/internal/completion_handler.h"
#include "base/hash.h"

#include <boost/json/basic_parser_impl.hpp>

namespace mustardtrail::api
{

namespace
{

tl::unexpected<error> malformed(std::string_view field)
{
    return tl::unexpected(error{ error_code::request_malformed, verdict::not_run, "field=" + std::string(field), {} });
}

result<void> parse(std::string_view body, boost::json::basic_parser<completion_handler> &parser)
{
    boost::json::error_code failure;
    const size_t used = parser.write_some(false, body.data(), body.size(), failure);
    if (failure) {
        const std::string &field = parser.handler().badField;
        return malformed(field.empty() ? "json:" + std::to_string(used) : field);
    }
    const size_t trailing = body.find_first_not_of(" \t\r\n", used);
    if (trailing != std::string_view::npos) {
        return malformed("json:" + std::to_string(trailing));
    }
    return {};
}

} // namespace

result<completion_fields> readCompletion(std::string_view body, completion_kind kind)
{
    const size_t brace = body.find_first_not_of(" \t\r\n");
    if (brace == std::string_view::npos || body[brace] != '{') {
        return malformed("json:0");
    }
    boost::json::basic_parser<completion_handler> parser(boost::json::parse_options{}, kind);
    if (const auto parsed = parse(body, parser); !parsed) {
        return tl::unexpected(parsed.error());
    }
    completion_handler &handler = parser.handler();
    completion_fields fields = std::move(handler.fields);
    if (fields.model.empty()) {
        return malformed("model");
    }
    if (!handler.sawPrompt) {
        return malformed(kind == completion_kind::text ? "prompt" : "messages");
    }
    if (fields.maxNewTokens == 0) {
        fields.maxNewTokens = defaultMaxNewTokens;
    }
    const auto textTokens = static_cast<token_count>((handler.promptBytes + bytesPerToken - 1) / bytesPerToken);
    fields.promptTokens = std::max<token_count>(1, textTokens + handler.promptTokenIds);
    fields.leadingBlockHash = hash64(handler.leadingBlock);
    fields.bodyObjectStart = brace + 1;
    return fields;
}

result<std::string> promptText(std::string_view body, completion_kind kind)
{
    std::string text;
    boost::json::basic_parser<completion_handler> parser(boost::json::parse_options{}, kind);
    parser.handler().takePrompt = [&text](std::string_view piece) {
        text.append(piece);
    };
    if (const auto parsed = parse(body, parser); !parsed) {
        return tl::unexpected(parsed.error());
    }
    return text;
}

} // namespace mustardtrail::api
