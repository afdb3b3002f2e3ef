#include "bench/fleet_values.h"

#include "config/internal/concat.h"

#include <functional>

namespace mustardtrail::config
{

namespace
{

constexpr int firstPort = 9000;
constexpr int usualWarmRequests = 64;

std::string list(int count, const std::function<std::string(int)> &element)
{
    std::string text = "[";
    for (int number = 0; number < count; ++number) {
        text += number == 0 ? "" : ",";
        text += element(number);
    }
    return text + "]";
}

std::string idOf(std::string_view kind, int number)
{
    return concat({ R"({"id":")", kind, "-", std::to_string(number), R"(")" });
}

std::string named(std::string_view kind, int count)
{
    return list(count, [kind](int number) {
        return idOf(kind, number) + "}";
    });
}

std::string engine(const fleet_size &size, int dataCentre, int number, int warmRequests)
{
    const std::string address = concat({ "10.",
        std::to_string(dataCentre),
        ".",
        std::to_string(number / 250),
        ".",
        std::to_string(number % 250 + 1),
        ":",
        std::to_string(firstPort) });
    return concat({ R"({"id":"engine-)",
        std::to_string(dataCentre),
        "-",
        std::to_string(number),
        R"(","kind":"engine","address":")",
        address,
        R"(","in_service":true,"models":["model-)",
        std::to_string(number % size.models),
        R"("],"model_version":"2026-11-30","checks_fencing":true,)",
        R"("memory_tokens":480000,"cold_requests":2,"warm_requests":)",
        std::to_string(warmRequests),
        "}" });
}

} // namespace

std::string backendServersText(const fleet_size &size, int dataCentre, int part, int firstWarmRequests)
{
    const int count = size.backendServers / size.dataCentres / size.partsPerDataCentre;
    return list(count, [&](int number) {
        return engine(size, dataCentre, part * count + number, number == 0 ? firstWarmRequests : usualWarmRequests);
    });
}

std::string backendServersKey(const fleet_size &size, int dataCentre, int part)
{
    const std::string key = concat({ "backend_servers/dc-", std::to_string(dataCentre) });
    return size.partsPerDataCentre == 1 ? key : concat({ key, "/part-", std::to_string(part) });
}

std::vector<config_entry> fleetEntries(const fleet_size &size, std::int64_t revision)
{
    std::vector<config_entry> entries;
    entries.push_back({ "classes", revision, list(size.classes, [](int number) {
                           return idOf("class", number) + R"(,"first_token_target":"530ms","total_target":"2min","repeatable":true})";
                       }) });
    entries.push_back({ "customers", revision, named("customer", size.customers) });
    entries.push_back({ "data_centres", revision, list(size.dataCentres, [](int number) {
                           return idOf("dc", number) + R"(,"region":"r1","in_service":true})";
                       }) });
    entries.push_back({ "models", revision, named("model", size.models) });
    entries.push_back({ "weight_store", revision, R"({"bytes_per_second":"10GB"})" });
    for (int dataCentre = 0; dataCentre < size.dataCentres; ++dataCentre) {
        for (int part = 0; part < size.partsPerDataCentre; ++part) {
            entries.push_back(
                { backendServersKey(size, dataCentre, part), revision, backendServersText(size, dataCentre, part, usualWarmRequests) });
        }
    }
    return entries;
}

} // namespace mustardtrail::config
