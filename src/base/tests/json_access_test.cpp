#include "base/json_access.h"

#include "testing/expect.h"

#include <boost/json/monotonic_resource.hpp>

using namespace mustardtrail;

Test(json_access, aParsedObjectUsesTheGivenMemoryThroughout)
{
    boost::json::monotonic_resource memory;
    const auto parsed = json_access::objectFromText(R"({"list":[{"name":"one"}]})", &memory);
    const auto damaged = json_access::objectFromDamagedText(R"({"name":"one"})", &memory);
    cr_assert(parsed.storage().get() == &memory);
    cr_assert(json_access::arrayAt(parsed, "list")->front().storage().get() == &memory);
    cr_assert(damaged.storage().get() == &memory);
}
