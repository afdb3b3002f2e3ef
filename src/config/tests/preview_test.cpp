#include "config/preview.h"

#include "config/internal/concat.h"
#include "config/parse_configuration.h"
#include "config/report_text.h"
#include "tests/golden_file.h"
#include "tests/sample_configuration.h"

#include <algorithm>

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

namespace
{

configuration parsed(const sample_values &values, std::int64_t revision = 1)
{
    const auto value = parseConfiguration(entriesOf(values, revision));
    cr_assert(value.has_value());
    return **value;
}

sample_values withOut(const std::string &dataCentre)
{
    sample_values values = sampleValues();
    const std::string start = concat({ "\"", dataCentre, "\",\"region\":\"r1\",\"in_service\":" });
    values["data_centres"] = replaced(values["data_centres"], start + "true", start + "false");
    return values;
}

bool warns(const preview_report &report, error_code code, const std::string &id)
{
    return std::any_of(report.warnings.begin(), report.warnings.end(), [&](const preview_warning &warning) {
        return warning.code == code && warning.id == id;
    });
}

const capacity_row &total(const preview_report &report)
{
    return report.capacity.back();
}

} // namespace

Test(preview, saysNothingOfTheSameConfiguration)
{
    const preview_report report = preview(parsed(sampleValues()), parsed(sampleValues()));
    cr_assert(report.changes.empty() && report.warnings.empty());
    cr_assert(std::all_of(report.capacity.begin(), report.capacity.end(), [](const capacity_row &row) {
        return row.sign == change_sign::same;
    }));
}

Test(preview, showsWhereTheCapacityOfADataCentreGoes)
{
    const preview_report report = preview(parsed(sampleValues()), parsed(withOut("dc1"), 2));
    testing::expectEqual(report.changes.size(), 1U);
    cr_assert(report.changes[0].kind == change_kind::drains && report.changes[0].sign == change_sign::removed);
    testing::expectEqual(total(report).enginesAfter, 1);
    testing::expectEqual(total(report).memoryAfter, 300000);
    testing::expectEqual(total(report).loadPercent, 300);
    cr_assert(warns(report, error_code::preview_load_grows, "pay"));
    cr_assert(warns(report, error_code::preview_longest_prompt_shrinks, "pay"));
    cr_assert(warns(report, error_code::preview_service_without_backend_server, "orders"));
    const preview_report back = preview(parsed(withOut("dc1")), parsed(sampleValues(), 2));
    cr_assert(back.changes[0].kind == change_kind::returns && back.changes[0].sign == change_sign::added);
    cr_assert(back.warnings.empty());
}

Test(preview, warnsWhenNothingRemains)
{
    sample_values values = withOut("dc1");
    values["data_centres"] = replaced(values["data_centres"], "true", "false");
    const preview_report report = preview(parsed(sampleValues()), parsed(values, 2));
    cr_assert(warns(report, error_code::preview_no_data_centre, ""));
    cr_assert(warns(report, error_code::preview_model_without_engine, "pay"));
    cr_assert(warns(report, error_code::preview_class_without_engine, "lookup"));
    testing::expectEqual(total(report).loadPercent, 0);
}

Test(preview, showsTargetsBeforeAndAfter)
{
    sample_values values = sampleValues();
    values["classes"] = replaced(values["classes"], "300ms", "250ms");
    const preview_report report = preview(parsed(sampleValues()), parsed(values, 2));
    testing::expectEqual(report.changes.size(), 1U);
    testing::expectEqual(report.changes[0].id, "lookup.first_token_target");
    testing::expectEqual(report.changes[0].before, "300ms");
    testing::expectEqual(report.changes[0].after, "250ms");
}

Test(preview, countsWhatItDoesNotList)
{
    sample_values values = sampleValues();
    std::string list = engineText("g3", 9003);
    for (int number = 0; number < maxLinesOfOneSort + 7; ++number) {
        list += concat({ ",", engineText(concat({ "n", std::to_string(number) }), 20000 + number) });
    }
    values["backend_servers/dc2"] = concat({ "[", list, "]" });
    const preview_report report = preview(parsed(sampleValues()), parsed(values, 2));
    testing::expectEqual(report.changes.size(), static_cast<size_t>(maxLinesOfOneSort) + 1);
    cr_assert(report.changes.back().kind == change_kind::more);
    testing::expectEqual(report.changes.back().after, "7");
}

Test(preview, goldenOutputs)
{
    sample_values changed = withOut("dc1");
    changed["classes"] = replaced(changed["classes"], "300ms", "250ms");
    changed["customers"] = R"([{"id":"hotel-1"},{"id":"taller-2"}])";
    changed["instances"] = R"([{"id":"e1","in_service":false}])";
    changed["backend_servers/dc2"] = concat({ "[", replaced(engineText("g3", 9003), "300000", "400000"), "]" });
    sample_values broken = sampleValues();
    broken["classes"] = replaced(broken["classes"], "300ms", "300");
    broken["backend_servers/dc1"] = replaced(broken["backend_servers/dc1"], "\"id\":\"g2\"", "\"id\":\"g2\",\"weight\":2");
    const preview_report report = preview(parsed(sampleValues()), parsed(changed, 2));
    const std::vector<config_problem> problems = parseConfiguration(entriesOf(broken)).error();
    for (const language in : { language::english, language::spanish }) {
        const std::string name(toString(in));
        expectGolden(concat({ "preview-", name, ".txt" }), previewText(report, in));
        expectGolden(concat({ "preview-", name, ".json" }), previewJson(report, in));
        expectGolden(concat({ "check-refused-", name, ".txt" }), problemsText(problems, in));
        expectGolden(concat({ "check-refused-", name, ".json" }), problemsJson(problems, in));
        expectGolden(concat({ "check-accepted-", name, ".txt" }), summaryText(parsed(sampleValues()), in));
    }
    expectGolden("check-accepted.json", summaryJson(parsed(sampleValues())));
}
