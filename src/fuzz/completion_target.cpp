#include "api/completion_reader.h"
#include "fuzz/fuzz_target.h"

namespace mustardtrail::fuzz
{

namespace
{

using api::completion_kind;

void checkFields(std::string_view body, completion_kind kind, const api::completion_fields &fields)
{
    require(!fields.model.empty() && fields.promptTokens >= 1);
    require(fields.maxNewTokens >= 1 && fields.maxNewTokens <= api::largestMaxNewTokens);
    require(fields.bodyObjectStart > 0 && fields.bodyObjectStart <= body.size() && body[fields.bodyObjectStart - 1] == '{');
    const auto prompt = api::promptText(body, kind);
    require(prompt.has_value());
    require(fields.promptTokens >= static_cast<token_count>(prompt->size() / api::bytesPerToken));
}

} // namespace

std::vector<error_code> readAnyBytes(std::string_view bytes)
{
    std::vector<error_code> codes;
    for (const completion_kind kind : { completion_kind::text, completion_kind::chat }) {
        const auto fields = api::readCompletion(bytes, kind);
        if (fields) {
            checkFields(bytes, kind, *fields);
            continue;
        }
        require(fields.error().outcome == verdict::not_run && fields.error().detail.starts_with("field="));
        codes.push_back(fields.error().code);
    }
    return codes.size() == 2 ? codes : std::vector<error_code>{};
}

} // namespace mustardtrail::fuzz
