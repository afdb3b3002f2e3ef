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
    return Json::writeString(builder, value);
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
