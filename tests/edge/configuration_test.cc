/* Versions of the configuration as callers see them, at a node. */
#include <map>

#include "edge/admin.h"
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

struct odd_case {
	const char *name;
	const char *route; /* fields of the route /odd/, or its services */
	const char *fields; /* of the document */
	int status; /* of /odd/ */
	int unknown_status; /* of a path without a route */
	const char *entry; /* of the fault */
};

#define TO_T "\"service\":\"t\""

const odd_case odd_cases[] = {
	{ "WeightAsText", "\"split\":[{\"service\":\"s\",\"weight\":\"1\"}]",
	  "", 503, 404, "odd" },
	{ "NegativeWeight", "\"split\":[{\"service\":\"s\",\"weight\":-1}]", "",
	  503, 404, "odd" },
	{ "PartWithoutService", "\"split\":[{\"weight\":1}]", "", 503, 404,
	  "odd" },
	{ "EmptySplit", "\"split\":[]", "", 503, 404, "odd" },
	{ "UnknownService", "\"service\":\"nobody\"", "", 503, 404, "odd" },
	{ "NoWeightAtAll", "\"split\":[{\"service\":\"s\",\"weight\":0}]", "",
	  503, 404, "odd" },
	{ "RegionsAsText", TO_T ",\"allowed_regions\":\"r2\"", "", 503, 404,
	  "odd" },
	{ "RegionAsNumber", TO_T ",\"allowed_regions\":[2]", "", 503, 404,
	  "odd" },
	{ "KeylessAsNumber", TO_T ",\"keyless\":1", "", 503, 404, "odd" },
	{ "PriorityAsText", TO_T ",\"priority\":\"high\"", "", 200, 404,
	  "odd" },
	{ "AttemptsAsText", TO_T ",\"max_attempts\":\"2\"", "", 200, 404,
	  "odd" },
	{ "TimeoutWithoutUnit", TO_T ",\"timeout\":\"2000\"", "", 200, 404,
	  "odd" },
	{ "TargetAsNumber", TO_T ",\"target_latency\":600", "", 200, 404,
	  "odd" },
	{ "KindAsNull", TO_T ",\"kind\":null", "", 200, 404, "odd" },
	{ "PrefixWithoutSlash", TO_T ",\"prefix\":\"/odd\"", "", 503, 503,
	  "odd" },
	{ "HostAsList", TO_T ",\"host\":[\"h.example\"]", "", 503, 503, "odd" },
	{ "WarmupAsNumber", TO_T,
	  ",\"services\":{\"s\":{\"warmup\":3},\"t\":{}}", 200, 404, "s" },
	{ "LimitAsText", TO_T,
	  ",\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":"
	  "\"1 MB\",\"header_timeout\":\"3s\",\"idle_timeout\":\"15s\"}",
	  200, 404, "limits" },
};

class OddEntryTest : public ConfigurationTest,
		     public ::testing::WithParamInterface<odd_case>
{
      protected:
	/* The latter of two fields with a name counts. */
	static std::string odd_route(const std::string &fields)
	{
		return ",\"odd\":{\"host\":\"h.example\","
		       "\"prefix\":\"/odd/\",\"kind\":\"idempotent\","
		       "\"timeout\":\"2000ms\",\"target_latency\":\"600ms\"," +
		       fields + "}";
	}
	std::string faults()
	{
		enum result result;
		const char *command = "{\"sentence\":\"show faults\"}";
		char *text =
			admin_command(edge, command, strlen(command), &result);
		std::string answer = text;

		g_free(text);
		return answer;
	}
};

/*
 * Guards against an entry that can't be read and keeps the rest of its version
 * out of force, is run by guess, or is known to nobody.
 */
TEST_P(OddEntryTest, RestOfTheVersionIsInForce)
{
	const odd_case &c = GetParam();
	std::string answer;

	add_app("i-s", 0, "s");
	add_app("i-t", 0, "t");
	extra_routes = odd_route("\"service\":\"s\"");
	put_routes(2);
	start_node();
	EXPECT_EQ(200, status_of(answer_to(get("q1", "/odd/"))));
	EXPECT_EQ(1u, app_stand_runs(apps[0].stand, "q1"));
	EXPECT_EQ(0u, edge->routes->fault_count);
	extra_routes = odd_route(c.route) + ROUTE_TO_T;
	extra_fields = c.fields;
	write_version(3);
	EXPECT_EQ(1u, edge->routes->fault_count);
	answer = answer_to(get("q2", "/odd/"));
	EXPECT_EQ(c.status, status_of(answer));
	EXPECT_EQ(c.status == 200 ? 1u : 0u, runs_of("q2"));
	EXPECT_EQ(0u, app_stand_runs(apps[0].stand, "q2"));
	EXPECT_EQ(c.status == 503,
		  answer.find("Retry-After: ") != std::string::npos);
	EXPECT_EQ(c.unknown_status, status_of(answer_to(get("q3", "/no/"))));
	EXPECT_EQ(200, status_of(answer_to(get("q4", "/t/"))));
	EXPECT_EQ(1u, app_stand_runs(apps[1].stand, "q4"));
	EXPECT_EQ(200, status_of(answer_to(post("q5", "/o/", 100000))));
	EXPECT_NE(std::string::npos,
		  faults().find(std::string("\"entry\":\"") + c.entry + "\""))
		<< faults();
	extra_routes = odd_route("\"service\":\"t\"");
	extra_fields = "";
	write_version(4);
	EXPECT_EQ(200, status_of(answer_to(get("q6", "/odd/"))));
	EXPECT_NE(std::string::npos, faults().find("0 faults"));
}

INSTANTIATE_TEST_SUITE_P(Cases, OddEntryTest, ::testing::ValuesIn(odd_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a version that is refused whole, and nobody hears of it. */
TEST_F(ConfigurationTest, RefusedVersionIsShownToOperators)
{
	enum result result;
	const char *command = "{\"sentence\":\"show faults\"}";
	char *text;

	add_app("i-s", 0, "s");
	start_node();
	store_stand_put(store, "op", "config", "{\"version\":2,\"routes\":{}}");
	wait_for([this] { return edge->routes_error != nullptr; });
	text = admin_command(edge, command, strlen(command), &result);
	EXPECT_NE(nullptr, strstr(text, "newest version")) << text;
	EXPECT_NE(nullptr, strstr(text, "services")) << text;
	g_free(text);
	EXPECT_EQ(200, status_of(answer_to(get("q1", "/r/"))));
	EXPECT_EQ(503, status_of(answer_to(get("q2", "/no/"))));
	write_version(3);
	EXPECT_EQ(nullptr, edge->routes_error);
	EXPECT_EQ(404, status_of(answer_to(get("q3", "/no/"))));
}

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
