/* Versions of the configuration as callers see them, at a node. */
#include <map>

#include "edge/edge_world.h"

namespace
{

class ConfigurationTest : public EdgeWorld
{
      protected:
	/* Replaces the route to "t" of extra_routes by a split. */
	static std::string split(const std::string &weights)
	{
		return ",\"other\":{\"host\":\"h.example\","
		       "\"prefix\":\"/t/\",\"kind\":\"idempotent\","
		       "\"timeout\":\"2000ms\",\"target_latency\":\"600ms\","
		       "\"split\":[" +
		       weights + "]}";
	}
	void write_version(int version)
	{
		put_routes(version);
		wait_for(
			[&] {
				return edge->routes->version ==
				       (uint64_t)version;
			},
			"the version is in force");
	}
};

/* Guards against a route that stays with the service that it has left. */
TEST_F(ConfigurationTest, RouteMovesToASplitOfFractions)
{
	std::map<std::string, uint32_t> runs;

	add_app("i-s", 0, "s");
	add_app("i-t", 0, "t");
	extra_routes = ROUTE_TO_T;
	put_routes(2);
	start_node();
	extra_routes = split("{\"service\":\"s\",\"weight\":0.5},"
			     "{\"service\":\"t\",\"weight\":1.5}");
	write_version(3);
	for (int i = 0; i < 40; i++)
		EXPECT_EQ(200, status_of(answer_to(
				       get("q" + std::to_string(i), "/t/"))));
	for (const App &app : apps)
		runs[app.id] = app_stand_total_runs(app.stand);
	EXPECT_NEAR(10, runs["i-s"], 1);
	EXPECT_NEAR(30, runs["i-t"], 1);
}

} // namespace
