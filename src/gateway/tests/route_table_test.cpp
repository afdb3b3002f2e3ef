#include "gateway/route_table.h"

#include "gateway/fleet_state.h"
#include "gateway/tests/test_time.h"
#include "testing/expect.h"

using namespace mustardtrail;
using namespace mustardtrail::gateway;
using mustardtrail::gateway::testing::at;
using mustardtrail::testing::expectEqual;

namespace
{

route routeAt(const std::string &name, const std::string &prefix)
{
    route made;
    made.name = name;
    made.host = "shop.example";
    made.pathPrefix = prefix;
    made.services = { { service_id("reading"), 1 } };
    return made;
}

route_table tableOf(std::vector<route> routes)
{
    published_config config;
    config.version = 7;
    config.routes = std::move(routes);
    config.needsKeys = true;
    config.customerByKey["secret"] = customer_id("first");
    return route_table(std::make_shared<const published_config>(std::move(config)));
}

} // namespace

Test(route_table, findsTheLongestPrefixOfTheHost)
{
    const route_table table = tableOf({ routeAt("short", "/a/"), routeAt("long", "/a/b/") });
    expectEqual(table.find("shop.example", "/a/b/c")->name, "long");
    expectEqual(table.find("shop.example", "/a/c")->name, "short");
    cr_assert_null(table.find("shop.example", "/c"));
    cr_assert_null(table.find("other.example", "/a/c"));
}

Test(route_table, ignoresCaseAndPortOfTheHost)
{
    const route_table table = tableOf({ routeAt("only", "/a/") });
    cr_assert_not_null(table.find("Shop.EXAMPLE:8080", "/a/"));
}

Test(route_table, findsTheCustomerOfAKey)
{
    const route_table table = tableOf({});
    expectEqual(table.customerOf("secret")->str(), "first");
    cr_assert_not(table.customerOf("Secret").has_value());
}

Test(route_table, choosesServicesByWeight)
{
    route split = routeAt("split", "/a/");
    split.services = { { service_id("old"), 90 }, { service_id("new"), 10 } };
    expectEqual(chooseServiceByWeight(split, 0.0).str(), "old");
    expectEqual(chooseServiceByWeight(split, 0.89).str(), "old");
    expectEqual(chooseServiceByWeight(split, 0.91).str(), "new");
    expectEqual(chooseServiceByWeight(split, 0.999).str(), "new");
}

// The event loop stands still for as long as a copy takes.
Test(route_table, aConfigurationComesIntoForceWithoutACopy)
{
    auto config = std::make_shared<published_config>();
    config->version = 7;
    config->routes = { routeAt("only", "/a/") };
    fleet_state state(1, data_centre_id("a"), fleet_limits(), [](std::string_view, std::string_view, std::string_view) {});
    state.apply(config_published{ config }, at(0), at(0));
    cr_assert_eq(state.routes->find("shop.example", "/a/"), &config->routes.front());
}
