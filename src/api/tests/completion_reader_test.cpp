#include "api/completion_reader.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::api;
using mustardtrail::testing::expectEqual;

namespace
{

void expectMalformed(std::string_view body, completion_kind kind, const std::string &detail)
{
    const auto read = readCompletion(body, kind);
    cr_assert(!read.has_value());
    expectEqual(toString(read.error().code), toString(error_code::request_malformed));
    expectEqual(toString(read.error().outcome), toString(verdict::not_run));
    expectEqual(read.error().detail, detail);
}

} // namespace

Test(completion_reader, readsFieldsOfATextCompletion)
{
    const auto read
        = readCompletion(R"( {"model":"pay","prompt":"0123456789","max_tokens":7,"stream":true,"temperature":0.5})", completion_kind::text);
    cr_assert(read.has_value());
    expectEqual(read->model, "pay");
    expectEqual(read->promptTokens, 3);
    expectEqual(read->maxNewTokens, 7);
    cr_assert(read->stream);
    expectEqual(read->bodyObjectStart, size_t{ 2 });
}

Test(completion_reader, countsTheContentsOfAllMessages)
{
    const std::string body
        = R"({"messages":[{"role":"system","content":"abcd"},{"role":"user","content":[{"type":"text","text":"efgh"}]}],"model":"m"})";
    const auto read = readCompletion(body, completion_kind::chat);
    cr_assert(read.has_value());
    expectEqual(read->promptTokens, 2);
    expectEqual(read->maxNewTokens, defaultMaxNewTokens);
    expectEqual(promptText(body, completion_kind::chat).value(), "abcdefgh");
}

Test(completion_reader, countsTokenIds)
{
    expectEqual(readCompletion(R"({"model":"m","prompt":[1,2,3]})", completion_kind::text)->promptTokens, 3);
}

Test(completion_reader, unescapesThePromptAcrossItsParts)
{
    const std::string body = "{\"model\":\"m\",\"prompt\":\"a\\n\\u00e9" + std::string(100'000, 'b') + "\"}";
    expectEqual(promptText(body, completion_kind::text)->size(), size_t{ 100'004 });
}

Test(completion_reader, namesTheFieldAtFault)
{
    expectMalformed("", completion_kind::text, "field=json:0");
    expectMalformed("[]", completion_kind::text, "field=json:0");
    expectMalformed(R"({"model":"m","prompt":"x")", completion_kind::text, "field=json:25");
    expectMalformed(R"({"model":"m","prompt":"x"} y)", completion_kind::text, "field=json:27");
    expectMalformed(R"({"prompt":"x"})", completion_kind::text, "field=model");
    expectMalformed(R"({"model":"m"})", completion_kind::text, "field=prompt");
    expectMalformed(R"({"model":"m","prompt":"x"})", completion_kind::chat, "field=messages");
    expectMalformed(R"({"model":"m","prompt":["x","y"]})", completion_kind::text, "field=prompt");
    expectMalformed(R"({"model":"m","prompt":"x","max_tokens":0})", completion_kind::text, "field=max_tokens");
    expectMalformed(R"({"model":"m","prompt":"x","max_tokens":1e99})", completion_kind::text, "field=max_tokens");
    expectMalformed(R"({"model":"m","prompt":"x","n":2})", completion_kind::text, "field=n");
    expectMalformed(R"({"model":"m","prompt":"x","model":"n"})", completion_kind::text, "field=model");
    expectMalformed(std::string(100'000, '[').insert(0, R"({"model":)"), completion_kind::text, "field=json:40");
}
