#include "config/message_catalogue.h"

#include "config/internal/catalogue_data.h"

#include <algorithm>

namespace mustardtrail::config
{

namespace
{

constexpr const char *unknownText = "?";

const catalogue_text *find(error_code code, language in)
{
    const auto message = std::lower_bound(
        catalogueMessages.begin(), catalogueMessages.end(), static_cast<int>(code), [](const catalogue_message &item, int number) {
            return item.code < number;
        });
    if (message == catalogueMessages.end() || message->code != static_cast<int>(code)) {
        return nullptr;
    }
    return &message->texts[static_cast<size_t>(in)];
}

} // namespace

std::string_view toString(language value)
{
    return value == language::english ? "en" : "es";
}

std::optional<language> languageFromString(std::string_view text)
{
    if (text == "en") {
        return language::english;
    }
    if (text == "es") {
        return language::spanish;
    }
    return std::nullopt;
}

std::string messageText(error_code code, language in, const message_values &values)
{
    const catalogue_text *message = find(code, in);
    if (message == nullptr) {
        return unknownText;
    }
    std::string result;
    std::string_view rest = message->text;
    while (!rest.empty()) {
        const size_t open = rest.find('{');
        const size_t close = open == std::string_view::npos ? open : rest.find('}', open);
        result += rest.substr(0, close == std::string_view::npos ? close : open);
        if (close == std::string_view::npos) {
            break;
        }
        const auto value = values.find(rest.substr(open + 1, close - open - 1));
        result += value == values.end() || value->second.empty() ? "-" : value->second;
        rest.remove_prefix(close + 1);
    }
    return result;
}

std::string_view messageTitle(error_code code, language in)
{
    const catalogue_text *message = find(code, in);
    return message == nullptr ? unknownText : message->title;
}

std::string_view messageAction(error_code code, language in)
{
    const catalogue_text *message = find(code, in);
    return message == nullptr ? unknownText : message->action;
}

std::vector<error_code> catalogueCodes()
{
    std::vector<error_code> codes;
    codes.reserve(catalogueMessages.size());
    for (const catalogue_message &message : catalogueMessages) {
        codes.push_back(static_cast<error_code>(message.code));
    }
    return codes;
}

bool isInCatalogue(error_code code)
{
    return find(code, language::english) != nullptr;
}

std::string_view word(std::string_view name, language in)
{
    const auto found
        = std::lower_bound(catalogueWords.begin(), catalogueWords.end(), name, [](const catalogue_word &item, std::string_view wanted) {
              return item.name < wanted;
          });
    if (found == catalogueWords.end() || found->name != name) {
        return unknownText;
    }
    return found->texts[static_cast<size_t>(in)];
}

} // namespace mustardtrail::config
