#include "config/parse_configuration.h"

#include "config/internal/concat.h"
#include "config/internal/problem_list.h"
#include "tests/sample_configuration.h"

#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::config;

namespace
{

std::vector<config_problem> problemsOf(const sample_values &values)
{
    const auto parsed = parseConfiguration(entriesOf(values));
    return parsed ? std::vector<config_problem>{} : parsed.error();
}

std::string shown(const std::vector<config_problem> &problems)
{
    std::string text;
    for (const config_problem &problem : problems) {
        text += concat({ toString(problem.code), " ", problem.key, " ", problem.path, "|", problem.given, "|", problem.allowed, "\n" });
    }
    return text;
}

/// Refused with exactly one problem, with the given code and place.
void expectProblem(const std::string &key, const std::string &what, const std::string &with, error_code code, const std::string &path)
{
    sample_values values = sampleValues();
    values[key] = replaced(values[key], what, with);
    const std::vector<config_problem> problems = problemsOf(values);
    const std::string got = shown(problems);
    cr_assert(problems.size() == 1 && problems[0].code == code && problems[0].key == key && problems[0].path == path, "%s", got.c_str());
}

constexpr const char *dc1 = "backend_servers/dc1";

} // namespace

Test(parse, readsTheDocumentedFormat)
{
    const auto parsed = parseConfiguration(entriesOf(sampleValues(), 5));
    cr_assert(parsed.has_value());
    const configuration &value = **parsed;
    testing::expectEqual(value.revision, 5);
    testing::expectEqual(value.classes.at(class_id("lookup")).firstTokenTarget.count(), 300);
    testing::expectEqual(value.weightStoreBytesPerSecond, 1000000000);
    const backend_server &engine = value.backendServers.at(backend_server_id("g1"));
    cr_assert(engine.kind == backend_server_kind::engine && engine.checksFencing && engine.inService);
    testing::expectEqual(toString(engine.address), "127.0.0.1:9001");
    testing::expectEqual(engine.dataCentre, data_centre_id("dc1"));
    const backend_server &service = value.backendServers.at(backend_server_id("s1"));
    cr_assert(service.kind == backend_server_kind::service);
    testing::expectEqual(service.service, service_id("orders"));
}

Test(parse, refusesBadSyntax)
{
    expectProblem("customers", "]", "", error_code::config_bad_syntax, "");
    expectProblem("customers", "[", "// note\n[", error_code::config_bad_syntax, "");
    expectProblem("customers", "}", ",}", error_code::config_bad_syntax, "");
    expectProblem("customers", "hotel", "\xff", error_code::config_bad_syntax, "");
}

Test(parse, refusesUnknownKeys)
{
    expectProblem("classes", "\"id\"", "\"weight\":2,\"id\"", error_code::config_unknown_key, "lookup");
    expectProblem(dc1, "\"id\"", "\"priority\":2,\"id\"", error_code::config_unknown_key, "g1");
    sample_values values = sampleValues();
    values["weights"] = "[]";
    testing::expectEqual(shown(problemsOf(values)).substr(0, 7), "MT-2002");
}

Test(parse, refusesMissingKeys)
{
    expectProblem("classes", ",\"repeatable\":true", "", error_code::config_missing_key, "lookup.repeatable");
    expectProblem(dc1, ",\"model_version\":\"1\"", "", error_code::config_missing_key, "g1.model_version");
    for (const char *key : { "classes", "customers", "data_centres", "models" }) {
        sample_values values = sampleValues();
        values.erase(key);
        const std::string got = shown(problemsOf(values));
        cr_assert(got.find(concat({ "MT-2003 ", key })) != std::string::npos, "%s", got.c_str());
    }
}

Test(parse, refusesWrongTypes)
{
    expectProblem("classes", "\"300ms\"", "300", error_code::config_wrong_type, "lookup.first_token_target");
    expectProblem("classes", "true", "\"yes\"", error_code::config_wrong_type, "lookup.repeatable");
    expectProblem(dc1, "[\"pay\"]", "\"pay\"", error_code::config_wrong_type, "g1.models");
    expectProblem(dc1, "300000", "300000.5", error_code::config_wrong_type, "g1.memory_tokens");
    expectProblem("customers", "[{", "[7,{", error_code::config_wrong_type, "[0]");
    expectProblem("weight_store", "{\"bytes_per_second\":1000000000}", "[]", error_code::config_wrong_type, "");
}

Test(parse, refusesValuesOutOfRange)
{
    expectProblem("classes", "300ms", "0ms", error_code::config_out_of_range, "lookup.first_token_target");
    expectProblem("classes", "300ms", "6s", error_code::config_out_of_range, "lookup.first_token_target");
    expectProblem("classes", "5s", "25h", error_code::config_out_of_range, "lookup.total_target");
    expectProblem(dc1, "\"cold_requests\":2", "\"cold_requests\":0", error_code::config_out_of_range, "g1.cold_requests");
    expectProblem(dc1, "\"cold_requests\":2", "\"cold_requests\":33", error_code::config_out_of_range, "g1.cold_requests");
    expectProblem(dc1, "300000", "18446744073709551615", error_code::config_out_of_range, "g1.memory_tokens");
    expectProblem(dc1, "127.0.0.1:9001", "engine.example:9001", error_code::config_out_of_range, "g1.address");
    expectProblem(dc1, "\"engine\"", "\"gpu\"", error_code::config_out_of_range, "g1.kind");
    expectProblem("customers", "hotel-1", "hotel 1", error_code::config_out_of_range, "[0].id");
    expectProblem("customers", "[{\"id\":\"hotel-1\"}]", "[]", error_code::config_out_of_range, "");
}

Test(parse, refusesUnknownUnits)
{
    expectProblem("classes", "300ms", "300 ms", error_code::config_bad_unit, "lookup.first_token_target");
    expectProblem("weight_store", "1000000000", "\"1G\"", error_code::config_bad_unit, "bytes_per_second");
}

Test(parse, refusesDuplicates)
{
    expectProblem("customers", "[", "[{\"id\":\"hotel-1\"},", error_code::config_duplicate_id, "hotel-1");
    expectProblem("customers", "\"id\"", "\"id\":\"a\",\"id\"", error_code::config_duplicate_key, "[0]");
    expectProblem(dc1, "[\"pay\"]", "[\"pay\",\"pay\"]", error_code::config_duplicate_id, "g1.models");
    expectProblem("backend_servers/dc2", "\"g3\"", "\"g2\"", error_code::config_duplicate_id, "g2");
    expectProblem("backend_servers/dc2", "9003", "9001", error_code::config_duplicate_id, "g3.address");
    std::vector<config_entry> entries = entriesOf(sampleValues());
    entries.push_back(entries.front());
    cr_assert(parseConfiguration(entries).error().at(0).code == error_code::config_duplicate_key);
}

Test(parse, takesTheBackendServersOfADataCentreFromSeveralKeys)
{
    sample_values values = sampleValues();
    values["backend_servers/dc2/rack-7"] = concat({ "[", engineText("g9", 9009), "]" });
    const auto parsed = parseConfiguration(entriesOf(values));
    testing::expectEqual((*parsed)->backendServers.at(backend_server_id("g9")).dataCentre, data_centre_id("dc2"));
    values["backend_servers/dc2/rack-7"] = concat({ "[", engineText("g9", 9001), "]" });
    testing::expectEqual(shown(problemsOf(values)), "MT-2006 backend_servers/dc2/rack-7 g9.address|127.0.0.1:9001|!= g1\n");
    values["backend_servers/dc2/rack-7"] = concat({ "[", engineText("g9", 9009), "]" });
    values["backend_servers/dc2/rack-8"] = concat({ "[", engineText("g9", 9010), "]" });
    testing::expectEqual(shown(problemsOf(values)), "MT-2006 backend_servers/dc2/rack-8 g9|dc2|1\n");
}

Test(parse, refusesUnknownReferences)
{
    expectProblem(dc1, "[\"pay\"]", "[\"pays\"]", error_code::config_unknown_reference, "g1.models");
    sample_values values = sampleValues();
    values["backend_servers/dc9"] = concat({ "[", engineText("g9", 9009), "]" });
    testing::expectEqual(shown(problemsOf(values)), "MT-2007 backend_servers/dc9 g9|dc9|dc1 | dc2\n");
}

Test(parse, refusesValuesThatAreTooLarge)
{
    expectProblem("customers", "]", std::string(maxValueBytes, ' ') + "]", error_code::config_too_large, "");
    std::string names;
    for (int number = 0; number < 300; ++number) {
        names += concat({ "\"n", std::to_string(number), "\":1," });
    }
    expectProblem("weight_store", "{", "{" + names, error_code::config_too_large, "");
}

Test(parse, showsForeignTextInAsciiAndCut)
{
    sample_values values = sampleValues();
    values["weight_store"] = concat({ "{\"\xe2\x80\xae\\u001b\":{\"a\":1,\"a\":2}}" });
    testing::expectEqual(shown(problemsOf(values)), "MT-2011 weight_store \"\\xe2\\x80\\xae\\u001b\"|a|1\n");
    values["weight_store"] = concat({ "{\"bytes_per_second\":\"", std::string(5000, 'x'), "\"}" });
    cr_assert(shown(problemsOf(values)).size() < 200);
}

Test(parse, listsAllProblemsInOneOrderAndBoundsThem)
{
    sample_values values = sampleValues();
    std::string list = "[";
    for (size_t number = 0; number <= maxProblemsPerKey; ++number) {
        list += number == 0 ? "0" : ",0";
    }
    values["customers"] = list + "]";
    values["classes"] = "{}";
    std::vector<config_entry> entries = entriesOf(values);
    const std::string forwards = shown(parseConfiguration(entries).error());
    std::reverse(entries.begin(), entries.end());
    testing::expectEqual(shown(parseConfiguration(entries).error()), forwards);
    cr_assert(forwards.find("MT-2004 classes |{}|[...]") == 0);
    testing::expectEqual(static_cast<size_t>(std::count(forwards.begin(), forwards.end(), '\n')), maxProblemsPerKey + 2);
    cr_assert(forwards.find("MT-2012 customers |101|100") != std::string::npos);
}
