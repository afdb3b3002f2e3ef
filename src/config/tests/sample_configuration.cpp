#include "tests/sample_configuration.h"

#include "config/internal/concat.h"

#include "testing/golden_file.h"

namespace mustardtrail::config
{

std::string engineText(const std::string &id, int port, const std::string &changes)
{
    return concat({ R"({"id":")",
        id,
        R"(","kind":"engine","address":"127.0.0.1:)",
        std::to_string(port),
        R"(","in_service":true,"models":["pay"],"model_version":"1","checks_fencing":true,"memory_tokens":300000,)",
        R"("cold_requests":2,"warm_requests":32)",
        changes.empty() ? "" : ",",
        changes,
        "}" });
}

sample_values sampleValues()
{
    const std::string service
        = R"({"id":"s1","kind":"service","address":"127.0.0.1:9101","in_service":true,"service":"orders","cold_requests":4,"warm_requests":64})";
    return {
        { "classes",
            R"([{"id":"lookup","first_token_target":"300ms","total_target":"5s","repeatable":true},
              {"id":"review","first_token_target":"2min","total_target":"10min","repeatable":false}])" },
        { "customers", R"([{"id":"hotel-1"}])" },
        { "models", R"([{"id":"pay"}])" },
        { "data_centres", R"([{"id":"dc1","region":"r1","in_service":true},{"id":"dc2","region":"r1","in_service":true}])" },
        { "instances", R"([{"id":"e1","in_service":true}])" },
        { "weight_store", R"({"bytes_per_second":1000000000})" },
        { "backend_servers/dc1", concat({ "[", engineText("g1", 9001), ",", engineText("g2", 9002), ",", service, "]" }) },
        { "backend_servers/dc2", concat({ "[", engineText("g3", 9003), "]" }) },
    };
}

std::vector<config_entry> entriesOf(const sample_values &values, std::int64_t revision)
{
    std::vector<config_entry> entries;
    for (const auto &[key, value] : values) {
        entries.push_back({ key, revision, value });
    }
    return entries;
}

config_update completeUpdate(const sample_values &values, std::int64_t revision)
{
    return { revision, 0, true, entriesOf(values, revision), {}, {} };
}

config_update deltaUpdate(std::int64_t base, std::vector<config_entry> entries)
{
    std::int64_t revision = base;
    for (const config_entry &entry : entries) {
        revision = std::max(revision, entry.revision);
    }
    return { revision, base, false, std::move(entries), {}, {} };
}

std::string replaced(std::string text, const std::string &what, const std::string &with)
{
    const size_t at = text.find(what);
    if (at == std::string::npos) {
        cr_assert_fail("text to replace is missing");
        return text;
    }
    return text.replace(at, what.size(), with);
}

std::string readTestFile(const std::string &name)
{
    return testing::readFile(std::string(MT_CONFIG_TEST_DIR) + "/" + name);
}

} // namespace mustardtrail::config
