#include "programs/entry/entry_settings.h"

#include "host/program_settings.h"

#include <chrono>

namespace mustardtrail::entry
{

using settings::setting_kind;

std::vector<settings::setting_rule> entryRules()
{
    std::vector<settings::setting_rule> rules = host::commonSettingRules();
    const std::vector<settings::setting_rule> own{
        { .key = "entry.callers", .kind = setting_kind::address, .required = true },
        { .key = "entry.peers", .kind = setting_kind::address, .required = true },
        { .key = "entry.admin", .kind = setting_kind::address, .required = true },
        { .key = "entry.view", .kind = setting_kind::address, .required = true },
        { .key = "entry.threads", .kind = setting_kind::count, .fallback = "4", .least = 1, .most = 64 },
        { .key = "entry.default_class", .kind = setting_kind::text },
        { .key = "entry.balancer_lag", .kind = setting_kind::duration, .fallback = "2s", .most = 60'000 },
        { .key = "limits.body", .kind = setting_kind::size, .fallback = "16MiB", .least = 1024, .most = 256LL << 20 },
        { .key = "limits.bodies", .kind = setting_kind::size, .fallback = "512MiB", .least = 1024 },
        { .key = "limits.header", .kind = setting_kind::size, .fallback = "16KiB", .least = 1024, .most = 1LL << 20 },
        { .key = "limits.progress", .kind = setting_kind::duration, .fallback = "10s", .least = 10 },
        { .key = "limits.request", .kind = setting_kind::duration, .fallback = "60s", .least = 10 },
    };
    rules.insert(rules.end(), own.begin(), own.end());
    return rules;
}

entry_settings entrySettingsFrom(const settings::settings_values &values)
{
    entry_settings settings;
    settings.node.self = instance_id(values.text("instance.id"));
    settings.node.seed = static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch().count());
    settings.dataCentre = data_centre_id(values.text("instance.data_centre"));
    settings.callers = values.address("entry.callers");
    settings.peers = values.address("entry.peers");
    settings.admin = values.address("entry.admin");
    settings.view = values.address("entry.view");
    settings.threads = static_cast<int>(values.number("entry.threads"));
    settings.defaultClass = values.text("entry.default_class");
    settings.balancerLag = values.duration("entry.balancer_lag");
    settings.limits.bodyBytes = static_cast<size_t>(values.number("limits.body"));
    settings.limits.totalBodyBytes = static_cast<size_t>(values.number("limits.bodies"));
    settings.limits.headerBytes = static_cast<size_t>(values.number("limits.header"));
    settings.limits.progress = values.duration("limits.progress");
    settings.limits.wholeRequest = values.duration("limits.request");
    return settings;
}

} // namespace mustardtrail::entry
