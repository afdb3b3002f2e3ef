#include "programs/gateway/operator_policy.h"

#include "settings/settings_reader.h"

namespace mustardtrail::gateway
{

namespace
{

constexpr std::int64_t maxSecondCopyLimit = 200'000; ///< Millionths; the platform's budget for sends beyond the first is 0.2.
const std::string secondCopyLimit = "second_copies.limit";

const std::vector<settings::setting_rule> &rules()
{
    static const std::vector<settings::setting_rule> all{
        { .key = secondCopyLimit, .kind = settings::setting_kind::fraction, .fallback = "0", .most = maxSecondCopyLimit },
    };
    return all;
}

} // namespace

result<operator_policy> readPolicyFile(const std::string &fileName)
{
    const auto values = settings::readSettingsFile(fileName, rules());
    if (!values) {
        std::string detail;
        for (const settings::settings_problem &problem : values.error()) {
            detail += (detail.empty() ? "" : "; ") + toString(problem);
        }
        return tl::unexpected(error{ values.error().front().code, verdict::not_run, detail, {} });
    }
    return operator_policy{ values->fraction(secondCopyLimit) };
}

} // namespace mustardtrail::gateway
