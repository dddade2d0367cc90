/* Backend servers that limit the rate of their requests. */
#include "edge/edge_world.h"
#include "edge/server_limits.h"

namespace
{

class ServerLimitTest : public EdgeWorld
{
      protected:
	/* Sends a request every 40 ms for ms; returns how many ran at app. */
	uint32_t runs_within(const App &app, uint64_t ms)
	{
		uint32_t before = app_stand_total_runs(app.stand);
		std::vector<std::unique_ptr<RawCaller>> callers;

		for (uint64_t at = 0; at < ms; at += 40) {
			callers.push_back(call(
				get("q" + std::to_string(number++), "/r/")));
			run_for(40);
		}
		return app_stand_total_runs(app.stand) - before;
	}
	/* A node that may use its quota: the delay after its start is over. */
	void start_settled_node()
	{
		start_node();
		edge->began_us = 0;
	}
	const struct rate_limit &limit_of(const char *id)
	{
		return backend_table_find(edge->backends, id)->limit;
	}
	int number = 0;
};

/* Guards against a node sending more than the server's rate. */
TEST_F(ServerLimitTest, ServerGetsNoMoreThanItsRate)
{
	App &limited = add_app("i-1");

	start_node();
	app_stand_set_headers(limited.stand, "Server-Limit: 2\r\n");
	runs_within(limited, 500);
	EXPECT_LE(runs_within(limited, 4000), 17u);
}

/* Guards against a node sending less than the rate although there is demand. */
TEST_F(ServerLimitTest, RateIsFullyUsed)
{
	App &limited = add_app("i-1");

	start_settled_node();
	app_stand_set_headers(limited.stand, "Server-Limit: 5\r\n");
	runs_within(limited, 500);
	uint32_t runs = runs_within(limited, 2000);
	EXPECT_GE(runs, 9u);
	EXPECT_LE(runs, 11u);
}

/* Guards against refusals while another server has capacity. */
TEST_F(ServerLimitTest, AnotherServerTakesTheRest)
{
	App &limited = add_app("i-1");

	start_settled_node();
	app_stand_set_headers(limited.stand, "Server-Limit: 1\r\n");
	answer_to(get("a1", "/r/"));
	add_app("i-2");
	wait_for([this] { return backend_table_find(edge->backends, "i-2"); });
	for (int i = 0; i < 10; i++)
		EXPECT_EQ(200, status_of(answer_to(
				       get("b" + std::to_string(i), "/r/"))));
	EXPECT_LE(app_stand_total_runs(limited.stand), 2u);
}

/* Guards against requests that no server has a token for waiting or running. */
TEST_F(ServerLimitTest, RequestWithoutATokenIsRefusedAtOnce)
{
	App &limited = add_app("i-1");

	start_settled_node();
	app_stand_set_headers(limited.stand, "Server-Limit: 0.5\r\n");
	answer_to(get("a1", "/r/"));
	uint64_t began = uv_hrtime();
	std::string answer = answer_to(get("a2", "/r/"));
	EXPECT_LT((uv_hrtime() - began) / 1000000, 200u);
	EXPECT_EQ(503, status_of(answer));
	EXPECT_NE(std::string::npos, answer.find("Retry-After"));
	EXPECT_NE(std::string::npos, answer.find("no-rate"));
	EXPECT_EQ(0u, app_stand_runs(limited.stand, "a2"));
}

/*
 * Guards against a burst after the server lifts its rate, and against the rate
 * staying in force: traffic ramps up within 3 s.
 */
TEST_F(ServerLimitTest, TrafficRampsUpAfterTheRateIsLifted)
{
	App &limited = add_app("i-1");

	start_settled_node();
	app_stand_set_headers(limited.stand, "Server-Limit: 5\r\n");
	runs_within(limited, 400);
	ASSERT_DOUBLE_EQ(5, limit_of("i-1").per_s);
	app_stand_set_headers(limited.stand, nullptr);
	runs_within(limited, 600);
	ASSERT_DOUBLE_EQ(0, limit_of("i-1").per_s);
	EXPECT_LE(runs_within(limited, 400), 9u);
	runs_within(limited, 2000);
	EXPECT_GE(runs_within(limited, 400), 9u);
}

/* Guards against invalid or repeated headers replacing the last valid rate. */
TEST_F(ServerLimitTest, InvalidRatesChangeNothing)
{
	App &limited = add_app("i-1");

	start_settled_node();
	app_stand_set_headers(limited.stand, "Server-Limit: 20\r\n");
	answer_to(get("a0", "/r/"));
	for (const char *bad : { "Server-Limit: 0\r\n", "Server-Limit: nan\r\n",
				 "Server-Limit: \r\n",
				 "Server-Limit: 3\r\nServer-Limit: 3\r\n" }) {
		run_for(60);
		app_stand_set_headers(limited.stand, bad);
		EXPECT_EQ(200,
			  status_of(answer_to(
				  get("a" + std::to_string(++number), "/r/"))));
		EXPECT_DOUBLE_EQ(20, limit_of("i-1").per_s) << bad;
	}
	EXPECT_EQ(4u, limit_of("i-1").rejected);
}

/* Guards against a node ignoring a rate that it knows from a peer only. */
TEST_F(ServerLimitTest, RateOfAPeerIsObeyed)
{
	App &limited = add_app("i-1");

	start_settled_node();
	uint32_t incarnation =
		backend_table_find(edge->backends, "i-1")->incarnation;
	for (const struct rate_update &absurd :
	     { rate_update{ incarnation, -1, 0 },
	       rate_update{ incarnation, 1e300, 0 },
	       rate_update{ incarnation, 2, 3600ull * 1000000 } })
		EXPECT_FALSE(server_limits_apply_update(edge, &absurd));
	EXPECT_DOUBLE_EQ(0, limit_of("i-1").per_s);
	const struct rate_update update = { incarnation, 1, 0 };
	EXPECT_TRUE(server_limits_apply_update(edge, &update));
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/r/"))));
	EXPECT_EQ(0u, app_stand_total_runs(limited.stand));
}

/* Guards against a broadcast for each of many falling rates. */
TEST_F(ServerLimitTest, FallingRatesSendBoundedUpdates)
{
	struct rate_update sent[HEARTBEAT_MAX_RATES];
	uint32_t updates = 0;
	App &limited = add_app("i-1");

	start_settled_node();
	for (int i = 0; i < 50; i++) {
		app_stand_set_headers(
			limited.stand,
			("Server-Limit: " + std::to_string(2000 - i) + "\r\n")
				.c_str());
		answer_to(get("a" + std::to_string(i), "/r/"));
		updates += server_limits_broadcast_updates(edge, sent,
							   HEARTBEAT_MAX_RATES);
		run_for(10);
	}
	ASSERT_DOUBLE_EQ(1951, limit_of("i-1").per_s);
	EXPECT_LE(updates, 8u);
}

/* Guards against taking the rate of another server that got the address. */
TEST_F(ServerLimitTest, RateOfAnotherServerIsIgnored)
{
	App &app = add_app("i-1");

	list_as(app, "i-old");
	start_settled_node();
	app_stand_set_headers(app.stand, "Server-Limit: 2\r\n");
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/r/"))));
	EXPECT_EQ(1u, app_stand_rejected(app.stand));
	EXPECT_DOUBLE_EQ(0, limit_of("i-old").per_s);
}

} // namespace
