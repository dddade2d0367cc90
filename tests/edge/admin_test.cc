/* Operators' queries and commands to a node, over HTTP. */
#include <jansson.h>

#include <fstream>

#include "edge/capacity_watch.h"
#include "edge/edge_world.h"
#include "edge/server_limits.h"

namespace
{

class AdminTest : public EdgeWorld
{
      protected:
	void SetUp() override
	{
		EdgeWorld::SetUp();
		add_app("i-1", 20, "s", "d1");
		add_app("i-2", 20, "s", "d2");
		add_app("i-far", 20, "s", "d3");
		start_node();
		struct endpoint any = endpoint_at(0);
		ASSERT_TRUE(listener_open(&operators, edge, LISTENER_OPERATORS,
					  &any, nullptr));
		g_free(edge->members->self->region);
		edge->members->self->region = g_strdup("r1");
	}
	void TearDown() override
	{
		json_decref(answer);
		listener_close(&operators);
		EdgeWorld::TearDown();
	}
	/* Returns the answer's JSON, valid until the next call. */
	json_t *ask(const std::string &sentence)
	{
		json_t *body = json_pack("{s:s}", "sentence", sentence.c_str());
		char *text = json_dumps(body, JSON_COMPACT);

		post(text);
		free(text);
		json_decref(body);
		return answer;
	}
	void post(const std::string &body)
	{
		RawCaller caller(&loop, at(operators));

		caller.send("POST /v1/command HTTP/1.1\r\nHost: n\r\n"
			    "Content-Length: " +
			    std::to_string(body.size()) + "\r\n\r\n" + body);
		wait_for([&] { return is_whole(caller); }, body.c_str());
		status = status_of(caller.got);
		json_decref(answer);
		answer = json_loads(body_of(caller.got).c_str(), 0, nullptr);
		ASSERT_NE(nullptr, answer) << caller.got;
	}
	int result() const
	{
		return (int)json_integer_value(
			json_object_get(answer, "result"));
	}
	std::string message() const
	{
		return json_string_value(json_object_get(answer, "message"));
	}
	/* The first row with this value in the column, or NULL. */
	json_t *row(const char *column, const std::string &value) const
	{
		json_t *rows = json_object_get(answer, "rows");
		json_t *one;
		size_t i;

		json_array_foreach (rows, i, one)
			if (value ==
			    json_string_value(json_object_get(one, column)))
				return one;
		return nullptr;
	}
	static std::string text(json_t *row, const char *column)
	{
		const char *value =
			json_string_value(json_object_get(row, column));

		return value ? value : "";
	}
	struct listener operators = {};
	json_t *answer = nullptr;
	int status = 0;
};

struct sentence_case {
	const char *name;
	const char *sentence;
	int status;
	int result;
	const char *message_part; /* in the answer's message */
};

const sentence_case sentence_cases[] = {
	{ "Places", "show places", 200, 0, "3 places" },
	{ "Nodes", "show nodes", 200, 0, "1 nodes" },
	{ "Backends", "show backends of s in d2", 200, 0, "1 backend servers" },
	{ "Services", "show services", 200, 0, "2 services" },
	{ "Routes", "show routes", 200, 0, "2 parts of routes" },
	{ "Version", "show version", 200, 0, "3 tables" },
	{ "Refusals", "show refusals", 200, 0, "0 causes" },
	{ "Faults", "show faults", 200, 0, "0 faults" },
	{ "Suspects", "show suspects", 200, 0, "0 suspects" },
	{ "Limits", "show limits", 200, 0, "0 limits" },
	{ "Room", "show room s", 200, 0, "0 rows" },
	{ "RoomOfNothing", "show room x", 404, 303, "no service is named 'x'" },
	{ "RoomOfWhat", "show room", 400, 301, "the name of a service" },
	{ "Memory", "show memory", 200, 0, "1 budgets" },
	{ "Quarantine", "quarantine 00000000000000ff", 200, 0,
	  "00000000000000ff is quarantined" },
	{ "ReleaseUnknown", "release 00000000000000ff", 404, 303,
	  "no suspect 00000000000000ff" },
	{ "BadFingerprint", "release 0xff", 400, 301, "16 of 0-9 a-f" },
	{ "Shifts", "show shifts", 404, 303, "route's split" },
	{ "WhereHome", "where s from d1", 200, 0, "to i-" },
	{ "WhereElse", "where s from d3", 409, 302, "ask a node there" },
	{ "WhereNowhere", "where s from d9", 404, 303, "no place d9" },
	{ "WhereNothing", "where x from d1", 404, 303, "no service x" },
	{ "WhereUnused", "where t from d1", 409, 302, "no route goes" },
	{ "Shift", "shift s from d1 to d2 share 10% cap 5/s", 409, 302,
	  "weights of a route's split" },
	{ "Drain", "drain place d1", 409, 302, "evacuated by the platform's" },
	{ "Stop", "stop s", 409, 302, "platform's operator" },
	{ "Misspelt", "shwo places", 400, 301, "did you mean 'show'" },
};

class SentenceTest : public AdminTest,
		     public ::testing::WithParamInterface<sentence_case>
{
};

TEST_P(SentenceTest, IsAnsweredOrRefusedWithAReason)
{
	const sentence_case &c = GetParam();

	ask(c.sentence);
	EXPECT_EQ(c.status, status) << message();
	EXPECT_EQ(c.result, result());
	EXPECT_NE(std::string::npos, message().find(c.message_part))
		<< message();
}

INSTANTIATE_TEST_SUITE_P(Cases, SentenceTest,
			 ::testing::ValuesIn(sentence_cases),
			 [](const auto &info) { return info.param.name; });

TEST_F(AdminTest, SuspectsAreQuarantinedListedAndReleased)
{
	const std::string fingerprint = "00000000000000ff";

	ask("quarantine " + fingerprint);
	ask("show suspects");
	json_t *listed = row("fingerprint", fingerprint);
	ASSERT_NE(nullptr, listed);
	EXPECT_EQ("quarantined", text(listed, "state"));
	ask("release " + fingerprint);
	ask("show suspects");
	EXPECT_EQ("cleared", text(row("fingerprint", fingerprint), "state"));
}

class CapacityTest : public AdminTest
{
      protected:
	void SetUp() override
	{
		AdminTest::SetUp();
		path = ::testing::TempDir() + "capacity_test." +
		       std::to_string(getpid()) + ".log";
		log_close();
		ASSERT_TRUE(log_open("n1", path.c_str(), LOG_INFO, nullptr));
	}
	void TearDown() override
	{
		AdminTest::TearDown();
		unlink(path.c_str());
	}
	/* Sets the load at each server and makes a choice. */
	void choose_with(uint32_t load)
	{
		struct choose_query query = {};
		struct choice choice;
		uint64_t now_us = edge_now_us(edge);

		query.route =
			route_table_find(edge->routes, "h.example", "/r/1");
		query.service = route_table_service(edge->routes, "s");
		set_coordinates(edge, "s");
		query.left_us = US_PER_S;
		for (const char *id : { "i-1", "i-2", "i-far" })
			backend_note_load(backend_table_find(edge->backends,
							     id),
					  load, 0, now_us);
		choose_backend(&edge->chooser, &query, now_us, &choice);
		capacity_watch_check(edge->capacity, edge);
	}
	size_t lines(const std::string &event)
	{
		std::ifstream file(path);
		std::string line;
		size_t count = 0;

		while (std::getline(file, line))
			count += line.find("event=" + event) !=
				 std::string::npos;
		return count;
	}
	std::string path;
};

/* Guards against a shortage that operators can't see, or that fills the log. */
TEST_F(CapacityTest, ShortageIsListedAndLoggedOnce)
{
	ask("show services");
	EXPECT_TRUE(json_is_null(
		json_object_get(row("service", "s"), "used_permille")));
	for (int i = 0; i < 5; i++)
		choose_with(6);
	ask("show services");
	json_t *listed = row("service", "s");
	EXPECT_TRUE(json_is_true(json_object_get(listed, "short")));
	EXPECT_GT(json_integer_value(json_object_get(listed, "used_permille")),
		  1000);
	EXPECT_TRUE(json_is_integer(
		json_object_get(listed, "wanted_far_permille")));
	EXPECT_EQ(1u, metric_value(metric_gauge("lilacfield_capacity_short", "",
						"service=\"s\"")));
	EXPECT_EQ(1u, lines("capacity-short"));
	EXPECT_EQ(0u, lines("capacity-recovered"));
}

/* A server's rate is listed with this node's quota of it. */
TEST_F(AdminTest, LimitsAreListedWithTheNodesQuota)
{
	struct backend *backend = backend_table_find(edge->backends, "i-1");
	const struct rate_update update = { backend->incarnation, 1.5, 0 };

	edge->began_us = 0;
	ASSERT_TRUE(server_limits_apply_update(edge, &update));
	ask("show limits");
	json_t *listed = row("backend", "i-1");
	ASSERT_NE(nullptr, listed);
	EXPECT_DOUBLE_EQ(1.5,
			 json_real_value(json_object_get(listed, "per_s")));
	EXPECT_DOUBLE_EQ(
		1.5, json_real_value(json_object_get(listed, "part_per_s")));
}

/* Guards against "where" naming another server than the next request gets. */
TEST_F(AdminTest, WhereMatchesTheNextChoice)
{
	ask("where s from d1 object 7");
	json_t *rows = json_object_get(answer, "rows");
	std::string predicted;
	json_t *one;
	size_t i;

	json_array_foreach (rows, i, one)
		if (text(one, "rule") == "near-best")
			predicted = text(one, "backend");
	std::string got = answer_to(get("a1", "/r/"));
	EXPECT_NE(std::string::npos, got.find("by " + predicted + " run 1"))
		<< predicted << got;
	/* Now the server is warm for the object. */
	ask("where s from d1 object 7");
	EXPECT_TRUE(json_is_true(
		json_object_get(row("backend", predicted), "warm")));
}

/* Guards against queries changing state: the same query has the same answer. */
TEST_F(AdminTest, QueriesChangeNothing)
{
	std::string first = text(
		json_array_get(json_object_get(ask("where s from d1 object 9"),
					       "rows"),
			       0),
		"backend");

	for (int i = 0; i < 300; i++)
		ask("where s from d1 object 9");
	EXPECT_EQ(first,
		  text(json_array_get(json_object_get(answer, "rows"), 0),
		       "backend"));
	EXPECT_EQ(0.0, metric_value(edge->stats.sent));
}

/* The row of a server that gets no requests says why. */
TEST_F(AdminTest, ReasonForExcludingAServerIsShown)
{
	list_app(apps[0], "draining");
	store_stand_put(store, "op", "evacuate/d2", "{}");
	wait_for([this] {
		return backend_table_evacuated(edge->backends, "d2") &&
		       backend_table_find(edge->backends, "i-1")->draining;
	});
	ask("where s from d1");
	EXPECT_EQ("leaving", text(row("backend", "i-1"), "rule"));
	EXPECT_EQ("evacuated", text(row("backend", "i-2"), "rule"));
	EXPECT_EQ("far-best", text(row("backend", "i-far"), "rule"));
	ask("show backends");
	EXPECT_EQ("draining", text(row("backend", "i-1"), "state"));
	EXPECT_EQ("evacuated", text(row("backend", "i-2"), "state"));
	ask("show places");
	EXPECT_TRUE(
		json_is_true(json_object_get(row("place", "d2"), "evacuated")));
}

/* Refusals are listed with their cause, count and the latest request's id. */
TEST_F(AdminTest, RefusalsAreCountedByCause)
{
	for (App &app : apps)
		app_stand_set_fault(app.stand, APP_CRASH);
	EXPECT_EQ(502, status_of(answer_to(get("lost-1", "/o/"))));
	EXPECT_EQ(502, status_of(answer_to(get("lost-2", "/o/"))));
	ask("show refusals");
	json_t *rows = json_object_get(answer, "rows");
	ASSERT_EQ(1u, json_array_size(rows));
	json_t *one = json_array_get(rows, 0);
	EXPECT_EQ(2, json_integer_value(json_object_get(one, "count")));
	EXPECT_EQ("lost-2", text(one, "last_request"));
}

/* Guards against invalid bodies stopping the node or getting no error. */
TEST_F(AdminTest, BadBodiesAreRejected)
{
	for (const char *body :
	     { "", "{", "[]", "{\"sentence\":7}", "{\"x\":1}" }) {
		post(body);
		EXPECT_EQ(400, status) << body;
		EXPECT_EQ(112, result()) << body;
	}
	ask("show nodes");
	EXPECT_EQ(200, status);
}

} // namespace
