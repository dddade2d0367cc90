/* What becomes of the requests that a stopping node has read. */
#include "edge/edge_world.h"

namespace
{

class StopTest : public EdgeWorld
{
      protected:
	void SetUp() override
	{
		EdgeWorld::SetUp();
		timeout = "6000ms";
		put_routes(2);
	}
};

enum stop_moment {
	READ_AFTER, /* the stop has begun when the request is read */
	OPENS_AFTER, /* it begins while the connection to the server opens */
	SENT_BEFORE, /* it begins while the server runs the request */
};

struct stop_case {
	const char *name;
	const char *path; /* "/r/" is idempotent, "/o/" is not */
	enum stop_moment moment;
	const char *headers;
	int status;
	uint32_t runs;
};

const stop_case stop_cases[] = {
	{ "ReadAfter", "/o/", READ_AFTER, "", 503, 0 },
	{ "IdempotentReadAfter", "/r/", READ_AFTER, "", 503, 0 },
	{ "DueInTimeReadAfter", "/o/", READ_AFTER,
	  "Lilacfield-Deadline-Ms: 3000\r\n", 200, 1 },
	{ "OpensAfter", "/o/", OPENS_AFTER, "", 503, 0 },
	{ "DueInTimeOpensAfter", "/o/", OPENS_AFTER,
	  "Lilacfield-Deadline-Ms: 3000\r\n", 200, 1 },
	{ "SentBefore", "/o/", SENT_BEFORE, "", 200, 1 },
	{ "IdempotentSentBefore", "/r/", SENT_BEFORE, "", 200, 1 },
};

class StopCaseTest : public StopTest,
		     public ::testing::WithParamInterface<stop_case>
{
};

/* Guards against requests that a stop has no time for, but sends, and cuts. */
TEST_P(StopCaseTest, IsAnsweredOrRefusedAtOnceAsNotRun)
{
	const stop_case &c = GetParam();

	App &app = add_app("i-1", 300);
	start_node();
	if (c.moment == READ_AFTER)
		begin_stop();
	auto caller = call(get("a1", c.path, c.headers));
	if (c.moment == OPENS_AFTER)
		wait_for([this] { return edge->exchanges == 1; });
	if (c.moment == SENT_BEFORE)
		wait_for([&] { return app_stand_running(app.stand) == 1; });
	begin_stop();
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(c.status, status_of(caller->got)) << caller->got;
	EXPECT_EQ(c.runs, runs_of("a1"));
	EXPECT_NE(std::string::npos, caller->got.find("Connection: close\r\n"));
	EXPECT_EQ(c.status == 503, caller->got.find("Retry-After: 0.010\r\n") !=
					   std::string::npos);
}

INSTANTIATE_TEST_SUITE_P(Cases, StopCaseTest, ::testing::ValuesIn(stop_cases),
			 [](const auto &info) { return info.param.name; });

/* Guards against a peer's request that a stopping node cuts. */
TEST_F(StopTest, HopThatOutlastsItIsRefusedForAnotherPeer)
{
	add_app("i-1");
	start_node();
	g_strlcpy(member_table_put(edge->members, "n2")->peer.address,
		  "127.0.0.1", sizeof(edge->members->self->peer.address));
	begin_stop();
	RawCaller sender(&loop, at(peers));
	sender.send(get("a1", "/o/", "Hop-Sends: 0\r\n"));
	wait_for([&] { return is_whole(sender); });
	EXPECT_EQ(503, status_of(sender.got)) << sender.got;
	EXPECT_NE(std::string::npos, sender.got.find("Hop-Not-Run: peer\r\n"));
	EXPECT_EQ(0u, runs_of("a1"));
}

/* Guards against a peer's request that crosses the close of its connection. */
TEST_F(StopTest, IdleConnectionsOfPeersStayOpen)
{
	add_app("i-1");
	start_node();
	RawCaller sender(&loop, at(peers));
	wait_for([&] { return sender.connected; });
	run_for(50);
	begin_stop();
	callers_close_idle(edge);
	run_for(50);
	EXPECT_FALSE(sender.ended);
}

/* Guards against connections that end silently when the stop's time is over. */
TEST_F(StopTest, RunningRequestIsAnsweredAtItsEnd)
{
	App &app = add_app("i-1", 5000);

	start_node();
	auto caller = call(get("a1", "/o/"));
	wait_for([&] { return app_stand_running(app.stand) == 1; });
	begin_stop();
	callers_end_requests(edge);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(504, status_of(caller->got)) << caller->got;
	EXPECT_EQ(1u, metric_value(edge->stats.stop_cut));
	wait_for([&] { return app_stand_cancelled(app.stand) == 1; });
}

/* Guards against a body that still comes when the process exits. */
TEST_F(StopTest, UnfinishedRequestIsWaitedForAndRefusedAtItsEnd)
{
	add_app("i-1");
	start_node();
	auto caller = call(get("a1", "/o/", "Content-Length: 9\r\n", "POST") +
			   "part");
	run_for(50);
	begin_stop();
	callers_close_idle(edge);
	EXPECT_TRUE(callers_are_waiting(edge));
	run_for(20);
	EXPECT_FALSE(caller->ended);
	callers_end_requests(edge);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(503, status_of(caller->got)) << caller->got;
	EXPECT_EQ(0u, runs_of("a1"));
	EXPECT_FALSE(callers_are_waiting(edge));
}

/* Guards against an exit that resets a connection whose answer isn't read. */
TEST_F(StopTest, CallerThatSendsOnIsWaitedFor)
{
	add_app("i-1");
	start_node();
	auto caller = call(get("a1", "/o/"));
	begin_stop(-2000000);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_TRUE(callers_are_lingering(edge));
	caller->send("more");
	run_for(50);
	EXPECT_TRUE(callers_are_lingering(edge));
	EXPECT_FALSE(caller->broken);
	caller->leave();
	wait_for([this] { return !callers_are_lingering(edge); });
}

/*
 * Guards against a second request on a connection that is passed on during a
 * stop, and ends without an answer.
 */
TEST_F(StopTest, SecondRequestOnAConnectionNeverRuns)
{
	App &app = add_app("i-1", 300);

	start_node();
	auto caller = call(get("a1", "/o/"));
	wait_for([&] { return app_stand_running(app.stand) == 1; });
	caller->send(get("a2", "/o/"));
	run_for(50);
	begin_stop();
	wait_for([&] { return caller->ended; });
	EXPECT_EQ(200, status_of(caller->got)) << caller->got;
	EXPECT_NE(std::string::npos, caller->got.find("Connection: close\r\n"));
	EXPECT_EQ(1u, runs_of("a1"));
	EXPECT_EQ(0u, runs_of("a2"));
	caller->send(get("a3", "/o/"));
	run_for(100);
	EXPECT_EQ(0u, runs_of("a3"));
}

} // namespace
