/*
 * Requests and answers that must not be ended too early: answers still being
 * sent to a slow caller, data that arrived while the node was paused, and
 * requests within the operator's limits.
 */
#include "edge/edge_world.h"

namespace
{

class EarlyEndsTest : public EdgeWorld
{
      protected:
	/* Reads so many bytes, then stops reading for pause_ms. */
	void read_then_pause(RawCaller &caller, size_t bytes, uint64_t pause_ms)
	{
		size_t until = caller.got.size() + bytes;

		caller.resume();
		wait_for([&] {
			return caller.got.size() >= until || is_whole(caller);
		});
		caller.pause();
		run_for(pause_ms);
	}
};

/*
 * A caller on a slow link reads a large answer for longer than the idle timeout
 * or the lingering time. If these count from the start of the answer and not
 * from the last byte written, every attempt is truncated midway.
 */
struct slow_case {
	const char *name;
	const char *headers;
	const char *idle_timeout;
};

const slow_case slow_cases[] = {
	{ "OnAKeptConnection", "", "700ms" },
	{ "OnOneThatEnds", "Connection: close\r\n", "15000ms" },
};

class SlowCallerTest : public EarlyEndsTest,
		       public ::testing::WithParamInterface<slow_case>
{
};

TEST_P(SlowCallerTest, GetsTheWholeAnswer)
{
	idle_timeout = GetParam().idle_timeout;
	put_routes(2);
	answer_bytes = 7 * 1024 * 1024;
	add_app("i-1");
	start_node();
	auto caller = call(get("a1", "/r/", GetParam().headers));

	while (!is_whole(*caller))
		read_then_pause(*caller, 600 * 1024, 300);
	EXPECT_EQ(200, status_of(caller->got));
	EXPECT_GE(body_of(caller->got).size(), answer_bytes);
}

INSTANTIATE_TEST_SUITE_P(Cases, SlowCallerTest, ::testing::ValuesIn(slow_cases),
			 [](const auto &info) { return info.param.name; });

/*
 * A caller sends the whole body of a rejected request before it reads the
 * answer. If the connection is closed a second after the answer was written,
 * the next bytes of the body cause a reset, and the answer is lost.
 */
TEST_F(EarlyEndsTest, ARejectedCallerMayFinishSendingItsBody)
{
	const std::string piece(50 * 1000, 'x');

	add_app("i-1");
	start_node();
	auto caller =
		call(get("a1", "/r/", "Content-Length: 2000000\r\n", "POST"));
	wait_for([&] { return caller->connected; });
	caller->pause();
	for (int i = 0; i < 10; i++) {
		run_for(200);
		caller->send(piece);
		ASSERT_FALSE(caller->broken) << i * 200 << " ms";
	}
	caller->resume();
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(413, status_of(caller->got));
}

/*
 * A caller pipelines a request with a large body. Closing the connection for
 * that would also cancel the running request, which may be one that must not
 * run twice.
 */
TEST_F(EarlyEndsTest, APipelinedLargeBodyKeepsTheConnection)
{
	const std::string body(900 * 1000, 'x');
	const std::string length =
		"Content-Length: " + std::to_string(body.size()) + "\r\n";

	add_app("i-1", 300);
	start_node();
	auto caller = call(get("a1", "/o/"));
	caller->send(get("a2", "/o/", length, "POST") + body);
	caller->send(get("a3", "/o/", length, "POST") + body);
	wait_for([&] {
		return caller->ended ||
		       caller->got.find("a3 by") != std::string::npos;
	});
	for (const char *id : { "a1 by", "a2 by", "a3 by" })
		EXPECT_NE(std::string::npos, caller->got.find(id)) << id;
}

/* The operator allows larger heads than the parser's default limit. */
TEST_F(EarlyEndsTest, TheOperatorsHeadLimitApplies)
{
	max_header_bytes = "200000";
	put_routes(2);
	add_app("i-1");
	start_node();
	for (const size_t bytes : { 100000, 190000 }) {
		std::string head = get(
			"a", "/r/", "X: " + std::string(bytes, 'x') + "\r\n");

		EXPECT_EQ(200, status_of(answer_to(head))) << bytes;
	}
	EXPECT_EQ(431, status_of(answer_to(get(
			       "a", "/r/",
			       "X: " + std::string(200000, 'x') + "\r\n"))));
}

/*
 * The VM is paused while a caller sends a request or the rest of one. If
 * timeouts are checked before the bytes are read, the caller gets 408 or finds
 * its idle connection closed.
 */
struct pause_case {
	const char *name;
	const char *before; /* sent before the pause */
	const char *after; /* sent during the pause */
};

const pause_case pause_cases[] = {
	{ "WithinARequest", "GET /r/ HTTP/1.1\r\nHost: h.example\r\n",
	  "Lilacfield-Attempt-Id: a\r\n\r\n" },
	{ "OnAnIdleConnection", "",
	  "GET /r/ HTTP/1.1\r\nHost: h.example\r\n"
	  "Lilacfield-Attempt-Id: a\r\n\r\n" },
};

class PauseTest : public EarlyEndsTest,
		  public ::testing::WithParamInterface<pause_case>
{
};

TEST_P(PauseTest, IsNotCountedAsIdleTime)
{
	idle_timeout = "3000ms";
	put_routes(2);
	add_app("i-1");
	start_node();
	auto caller = call(GetParam().before);
	wait_for([&] { return caller->connected; });
	run_for(200);
	caller->send(GetParam().after);
	g_usleep(3300 * 1000);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got));
}

INSTANTIATE_TEST_SUITE_P(Cases, PauseTest, ::testing::ValuesIn(pause_cases),
			 [](const auto &info) { return info.param.name; });

/*
 * A backend server's answer arrives while the VM is paused. If the timeout is
 * checked before the answer is read, the caller gets 504.
 */
TEST_F(EarlyEndsTest, AnAnswerThatArrivedDuringAPauseIsDelivered)
{
	timeout = "700ms";
	put_routes(2);
	App &app = add_app("i-1", 200);
	start_node();
	auto caller = call(get("a1", "/r/"));
	wait_for([&] { return app_stand_running(app.stand) == 1; });
	wait_for([&] { return app_stand_running(app.stand) == 0; });
	ASSERT_TRUE(caller->got.empty());
	g_usleep(1000 * 1000);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got));
}

/*
 * A node is stopped while a caller on a slow link reads a large answer. If the
 * request counts as finished once its answer has begun, the process exits and
 * the answer is truncated.
 */
TEST_F(EarlyEndsTest, AStopWaitsForAnswersBeingWritten)
{
	answer_bytes = 7 * 1024 * 1024;
	add_app("i-1");
	start_node();
	EXPECT_FALSE(callers_are_waiting(edge));
	auto caller = call(get("a1", "/r/"));
	wait_for([&] { return !caller->got.empty(); });
	begin_stop();
	caller->pause();
	run_for(300);
	EXPECT_EQ(0u, edge->exchanges);
	EXPECT_TRUE(callers_are_waiting(edge));
	callers_close_idle(edge);
	caller->resume();
	wait_for([&] { return is_whole(*caller); });
	EXPECT_GE(body_of(caller->got).size(), answer_bytes);
	EXPECT_FALSE(callers_are_waiting(edge));
}

/*
 * The node is paused or busy while a large document of routes arrives. If the
 * receive timeout fires before the arrived bytes are read, the download starts
 * again from the first byte, and a node that is often busy never completes it.
 */
TEST_F(EarlyEndsTest, APauseDoesNotRestartADownload)
{
	struct store_faults faults = {};

	add_app("i-1");
	start_node();
	run_for(300);
	extra_routes += numbered_routes(400);
	faults.bytes_per_s = extra_routes.size(); /* takes more than 1 s */
	store_stand_set_faults(store, &faults);
	put_routes(2);
	run_for(500);
	g_usleep(1500 * 1000);
	wait_for([this] { return edge->routes->version == 2; });
	EXPECT_EQ(0u, metric_value(edge->stats.registry_lost_bytes));
}

/*
 * A document of routes takes 3 s to arrive, and the operator writes a newer one
 * meanwhile. If the old one counts as confirmed when its last byte arrives,
 * though the store read it 3 s before, callers of the newest routes get a final
 * 404, and peers receive a confirmation of the old routes.
 */
TEST_F(EarlyEndsTest, ADocumentIsAsOldAsItsFirstByte)
{
	struct store_faults faults = {};

	add_app("i-1");
	start_node();
	run_for(300);
	extra_routes += numbered_routes(400);
	faults.bytes_per_s = extra_routes.size() * 4 / 3 / 3;
	store_stand_set_faults(store, &faults);
	put_routes(2);
	wait_for([this] { return edge->routes->version == 2; });
	faults.silent = true;
	store_stand_set_faults(store, &faults);
	EXPECT_GE(sync_routes_age_us(sync), 2500 * 1000u);
	EXPECT_EQ(503, status_of(answer_to(get("a1", "/newest/"))));
	EXPECT_EQ(200, status_of(answer_to(get("a2", "/n7/"))));
}

/*
 * The VM is paused while a connection to a backend server opens. If the connect
 * timeout fires before the loop sees that it is open, the server is shunned as
 * unreachable, and a caller whose service has one server is refused.
 */
TEST_F(EarlyEndsTest, APauseDoesNotMakeAServerUnreachable)
{
	add_app("i-1");
	start_node();
	auto caller = call(get("a1", "/r/"));
	wait_for([this] { return edge->exchanges == 1; });
	ASSERT_EQ(0u, metric_value(edge->stats.sent));
	g_usleep(500 * 1000);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got));
	/* The pause isn't recorded as latency of the region's link. */
	EXPECT_LT(chooser_link_us(&edge->chooser, "r1"), 50 * 1000u);
}

/*
 * A caller sends its request and disconnects while the loop is busy parsing a
 * large document. The kernel then holds both, and the request is read first: a
 * server would start to run it half a second after its caller had left. This
 * would happen for every caller that left during the pause.
 */
TEST_F(EarlyEndsTest, ARequestWhoseCallerLeftIsNotSent)
{
	App &app = add_app("i-1");

	start_node();
	auto leaver = call(get("a1", "/r/"));
	auto stayer = call("");
	wait_for([&] { return leaver->connected && stayer->connected; });
	wait_for([&] { return app_stand_runs(app.stand, "a1") == 1; });
	wait_for([&] { return is_whole(*leaver); });
	leaver->send(get("a2", "/r/"));
	stayer->send(get("a3", "/r/"));
	leaver->leave();
	g_usleep(600 * 1000);
	wait_for([&] { return is_whole(*stayer); });
	run_for(200);
	EXPECT_EQ(0u, app_stand_runs(app.stand, "a2"));
	EXPECT_EQ(1u, app_stand_runs(app.stand, "a3"));
	EXPECT_EQ(200, status_of(stayer->got));
}

/*
 * A stopping node is busy parsing a large document while a request arrives on
 * an idle connection. If the next tick closes that connection before the
 * request is read, the caller gets no answer.
 */
TEST_F(EarlyEndsTest, AStopClosesNoConnectionWithAnUnreadRequest)
{
	App &app = add_app("i-1");

	start_node();
	auto caller = call(get("a1", "/r/"));
	wait_for([&] { return is_whole(*caller); });
	run_for(400);
	ASSERT_FALSE(callers_may_have_unread(edge));
	caller->got.clear();
	caller->send(get("a2", "/r/"));
	g_usleep(600 * 1000);
	/* What a stopping node does at each tick once no request runs. */
	callers_sweep(edge);
	EXPECT_TRUE(callers_may_have_unread(edge));
	if (!callers_may_have_unread(edge))
		callers_close_idle(edge);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got));
	EXPECT_EQ(1u, app_stand_runs(app.stand, "a2"));
	run_for(600);
	EXPECT_FALSE(callers_may_have_unread(edge));
}

/*
 * A node is suspended while it waits for its sockets. An answer of the store
 * that arrived before is read before any timer detects the suspension. Dated
 * with the time it is read, it would confirm routes that were replaced seconds
 * ago, and callers of new routes would get a final 404.
 */
TEST_F(EarlyEndsTest, DataReadBeforeALateTimerIsOld)
{
	uint64_t before_us;

	start_node(false);
	run_for(500);
	before_us = edge_now_us(edge);
	EXPECT_GE(edge_earliest_arrival_us(edge) + 100000, before_us);
	g_usleep(600 * 1000);
	EXPECT_LE(edge_earliest_arrival_us(edge), before_us);
}

} // namespace
