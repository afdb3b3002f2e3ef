#include "fuzz/fuzz_target.h"
#include "settings/settings_reader.h"

namespace mustardtrail::fuzz
{

namespace
{

using settings::setting_kind;

const std::vector<settings::setting_rule> rules{
    { .key = "entry.listen", .kind = setting_kind::address, .required = true },
    { .key = "entry.peers", .kind = setting_kind::address_list },
    { .key = "entry.timeout", .kind = setting_kind::duration, .fallback = "5s", .least = 10, .most = 60'000 },
    { .key = "entry.body", .kind = setting_kind::size, .fallback = "16MiB" },
    { .key = "entry.threads", .kind = setting_kind::count, .fallback = "4", .least = 1, .most = 64 },
    { .key = "instance.id", .kind = setting_kind::text },
    { .key = "log.level", .kind = setting_kind::choice, .fallback = "info", .choices = { "debug", "info" } },
};

void checkValues(const settings::settings_values &values)
{
    require(values.address("entry.listen").port != 0);
    require(!values.has("entry.peers") || !values.addresses("entry.peers").empty());
    require(values.duration("entry.timeout").count() >= 10 && values.duration("entry.timeout").count() <= 60'000);
    require(values.number("entry.body") >= 0);
    require(values.number("entry.threads") >= 1 && values.number("entry.threads") <= 64);
    require(values.text("log.level") == "debug" || values.text("log.level") == "info");
}

} // namespace

std::vector<error_code> readAnyBytes(std::string_view bytes)
{
    const auto read = settings::readSettings(bytes, "a.ini", rules);
    if (read) {
        require(bytes.find('\0') == std::string_view::npos);
        checkValues(*read);
        return {};
    }
    std::vector<error_code> codes;
    for (const settings::settings_problem &problem : read.error()) {
        require(problem.file == "a.ini" && problem.line >= 0 && !toString(problem).empty());
        codes.push_back(problem.code);
    }
    require(!codes.empty());
    return codes;
}

} // namespace mustardtrail::fuzz
