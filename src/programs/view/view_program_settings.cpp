#include "programs/view/view_program_settings.h"

#include "host/program_settings.h"

#include <chrono>

namespace mustardtrail::view
{

using settings::setting_kind;

std::vector<settings::setting_rule> viewRules()
{
    std::vector<settings::setting_rule> rules = host::commonSettingRules();
    const std::vector<settings::setting_rule> own{
        { .key = "view.listen", .kind = setting_kind::address, .required = true },
        { .key = "view.entry_peers", .kind = setting_kind::address, .required = true },
        { .key = "view.platform", .kind = setting_kind::address, .required = true },
        { .key = "view.cluster", .kind = setting_kind::text, .fallback = "mustardtrail" },
        { .key = "view.stop_limit", .kind = setting_kind::duration, .fallback = "10min", .least = 100 },
    };
    rules.insert(rules.end(), own.begin(), own.end());
    return rules;
}

view_program_settings viewSettingsFrom(const settings::settings_values &values)
{
    const auto startedAt = std::chrono::system_clock::now().time_since_epoch();
    const auto incarnation = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(startedAt).count());
    view_program_settings settings;
    settings.listen = values.address("view.listen");
    settings.platform = values.address("view.platform");
    settings.stopLimit = values.duration("view.stop_limit");
    settings.core.self = instance_id(values.text("instance.id"));
    settings.core.dataCentre = data_centre_id(values.text("instance.data_centre"));
    settings.core.requests = values.address("view.entry_peers");
    settings.core.heartbeats = settings.listen;
    settings.core.cluster = values.text("view.cluster");
    settings.core.incarnation = incarnation;
    settings.core.seed = incarnation;
    return settings;
}

} // namespace mustardtrail::view
