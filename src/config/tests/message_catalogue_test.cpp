#include "config/message_catalogue.h"

#include "config/internal/catalogue_data.h"
#include "tests/sample_configuration.h"

#include <regex>
#include <set>

#include <boost/json/parse.hpp>

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

namespace
{

constexpr std::array languages{ language::english, language::spanish };

boost::json::object catalogueFile()
{
    return boost::json::parse(readTestFile("../../../messages/catalogue.json")).as_object();
}

std::string textOf(const boost::json::value &value)
{
    return { value.as_string().data(), value.as_string().size() };
}

} // namespace

Test(catalogue, hasEveryErrorCodeInBothLanguages)
{
    const std::string header = readTestFile("../../base/error_code.h");
    const std::regex line(R"([a-z_]+ = ([0-9]+),)");
    int codes = 0;
    for (std::sregex_iterator match(header.begin(), header.end(), line), end; match != end; ++match) {
        const error_code code = static_cast<error_code>(std::stoi((*match)[1]));
        cr_assert(isInCatalogue(code), "%s is not in messages/catalogue.json", toString(code).c_str());
        for (const language in : languages) {
            cr_assert_not(messageTitle(code, in).empty() || messageText(code, in, {}).empty() || messageAction(code, in).empty());
        }
        ++codes;
    }
    testing::expectEqual(static_cast<size_t>(codes), catalogueCodes().size());
}

Test(catalogue, generatedSourceIsTheCatalogue)
{
    const boost::json::object file = catalogueFile();
    testing::expectEqual(file.at("messages").as_object().size(), catalogueMessages.size());
    for (const auto &[code, texts] : file.at("messages").as_object()) {
        const error_code number = *errorCodeFromString({ code.data(), code.size() });
        for (const language in : languages) {
            const boost::json::object &text = texts.at(std::string(toString(in))).as_object();
            testing::expectEqual(messageTitle(number, in), textOf(text.at("title")));
            testing::expectEqual(messageAction(number, in), textOf(text.at("action")));
        }
    }
    testing::expectEqual(file.at("words").as_object().size(), catalogueWords.size());
    for (const auto &[name, texts] : file.at("words").as_object()) {
        for (const language in : languages) {
            testing::expectEqual(word({ name.data(), name.size() }, in), textOf(texts.at(std::string(toString(in)))));
        }
    }
}

Test(catalogue, bothLanguagesUseTheSameValues)
{
    const std::regex name(R"(\{[a-z]+\})");
    for (const catalogue_message &message : catalogueMessages) {
        std::array<std::multiset<std::string>, languageCount> names;
        for (size_t in = 0; in < languageCount; ++in) {
            const std::string text = message.texts[in].text;
            for (std::sregex_iterator match(text.begin(), text.end(), name), end; match != end; ++match) {
                names[in].insert(match->str());
            }
        }
        cr_assert(names[0] == names[1], "MT-%d", message.code);
    }
}

Test(catalogue, fillsInValues)
{
    const message_values values{ { "key", "classes" }, { "path", "lookup" }, { "given", "{key}" }, { "allowed", "" } };
    testing::expectEqual(
        messageText(error_code::config_out_of_range, language::english, values), "classes lookup: {key} is out of range. Allowed: -.");
    testing::expectEqual(messageText(static_cast<error_code>(9999), language::spanish, values), "?");
}
