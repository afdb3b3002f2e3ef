#include "rpc/internal/json_text.h"

#include <memory>
#include <stdexcept>

namespace mustardtrail
{
namespace rpc
{

std::string textOf(const Json::Value &value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    // Else bytes that are no UTF-8 would become characters, and different texts the same.
    builder["emitUTF8"] = true;
    return Json::writeString(builder, value);
}

bool isFitForParser(const std::string &text)
{
    constexpr int deepest = 100;
    int depth = 0;
    bool inText = false;
    for (size_t at = 0; at < text.size(); ++at) {
        const char next = text[at];
        if (inText) {
            at += next == '\\' ? 1 : 0;
            inText = next != '"';
            continue;
        }
        inText = next == '"';
        depth += next == '[' || next == '{' ? 1 : 0;
        depth -= next == ']' || next == '}' ? 1 : 0;
        if (depth > deepest || next == '/') {
            return false;
        }
    }
    return true;
}

Json::Value valueOf(const std::string &text)
{
    const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string problem;
    if (!reader->parse(text.data(), text.data() + text.size(), &value, &problem)) {
        throw std::runtime_error(problem);
    }
    return value;
}

} // namespace rpc
} // namespace mustardtrail
