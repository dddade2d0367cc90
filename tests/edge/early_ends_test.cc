/*
 * Requests and answers that the node ended too early, out of what it took for
 * silence: while an answer was still on its way to a slow caller, while the
 * node itself had not listened, or by limits that were not the operator's.
 */
#include "edge/edge_world.h"

namespace
{

class EarlyEndsTest : public EdgeWorld
{
      protected:
	/* Take so many bytes, then leave the rest in the buffers for a while.
	 */
	void take(RawCaller &caller, size_t bytes, uint64_t pause_ms)
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
 * A caller on a narrow link takes a large answer for longer than an idle
 * connection may last, or than an ended one is kept for its last bytes. It saw
 * the connection break off midway, each time it asked. The cause: its time was
 * counted from when the answer began, not from the last byte that it took.
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
		take(*caller, 600 * 1024, 300);
	EXPECT_EQ(200, status_of(caller->got));
	EXPECT_GE(body_of(caller->got).size(), answer_bytes);
}

INSTANTIATE_TEST_SUITE_P(Cases, SlowCallerTest, ::testing::ValuesIn(slow_cases),
			 [](const auto &info) { return info.param.name; });

/*
 * A caller sends the body of a request that was turned away on and reads the
 * answer after it. The connection was closed a second after the answer was
 * written, the body's next bytes met a reset, and the answer was lost with it.
 */
TEST_F(EarlyEndsTest, ARefusedCallerMaySendItsBodyOn)
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
 * A caller sends its next request ahead of an answer, with a large body. The
 * connection was closed at once, and with it a request that was already being
 * run, perhaps one that may run only once.
 */
TEST_F(EarlyEndsTest, ALargeBodySentAheadEndsNothing)
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

/* The operator allows larger heads than the parser does by itself. */
TEST_F(EarlyEndsTest, TheOperatorsLimitOfHeadsHolds)
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
 * The VM stood still while a caller sent the rest of its request. When it ran
 * again, time-outs were looked at before the bytes: the caller was told that
 * its request had not come in time, or found its idle connection closed.
 */
struct standstill_case {
	const char *name;
	const char *before; /* sent before the standstill */
	const char *after; /* and during it */
};

const standstill_case standstill_cases[] = {
	{ "WithinARequest", "GET /r/ HTTP/1.1\r\nHost: h.example\r\n",
	  "Lilacfield-Attempt-Id: a\r\n\r\n" },
	{ "OnAnIdleConnection", "",
	  "GET /r/ HTTP/1.1\r\nHost: h.example\r\n"
	  "Lilacfield-Attempt-Id: a\r\n\r\n" },
};

class StandstillTest : public EarlyEndsTest,
		       public ::testing::WithParamInterface<standstill_case>
{
};

TEST_P(StandstillTest, IsNotTheCallersSilence)
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

INSTANTIATE_TEST_SUITE_P(Cases, StandstillTest,
			 ::testing::ValuesIn(standstill_cases),
			 [](const auto &info) { return info.param.name; });

/*
 * The same with a backend server's answer: it had come while the VM stood
 * still, and the caller was told 504 before it was read.
 */
TEST_F(EarlyEndsTest, AnAnswerThatCameMeanwhileIsDelivered)
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
 * A node was stopped while a caller on a narrow link took a large answer. The
 * request counted as over once the answer had begun, the process ended, and
 * what it hadn't written yet was lost: a planned stop cut an answer off.
 */
TEST_F(EarlyEndsTest, AStopWaitsForAnswersThatAreBeingTaken)
{
	answer_bytes = 7 * 1024 * 1024;
	add_app("i-1");
	start_node();
	EXPECT_FALSE(callers_are_waiting(edge));
	auto caller = call(get("a1", "/r/"));
	wait_for([&] { return !caller->got.empty(); });
	edge->stopping = true;
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
 * The node stood still, or was busy, while a large document of routes arrived.
 * Its timer for a silent platform came before what had arrived meanwhile, the
 * call was made anew from the first byte, and a node that is busy often never
 * got the document.
 */
TEST_F(EarlyEndsTest, AStandstillDoesNotBeginADocumentAnew)
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
 * A document of routes took 3 s to arrive, and meanwhile the operator had
 * written a newer one. The old one counted as confirmed when its last byte
 * came, though the store had read it 3 s before: callers of the newest routes
 * got a final 404, and neighbours heard that the old ones hold.
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
 * The VM stood still while a connection to a backend server opened. The server
 * was taken for unreachable, and shunned, though the connection was there; a
 * caller whose service has one server was refused.
 */
TEST_F(EarlyEndsTest, AStandstillDoesNotMakeAServerUnreachable)
{
	add_app("i-1");
	start_node();
	auto caller = call(get("a1", "/r/"));
	wait_for([this] { return edge->exchanges == 1; });
	ASSERT_EQ(0u, metric_value(edge->stats.sent));
	g_usleep(500 * 1000);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got));
	/* Nor is its region far away from now on. */
	EXPECT_LT(chooser_link_us(&edge->chooser, "r1"), 50 * 1000u);
}

/*
 * A caller sends its request and gives up while the loop reads a large document
 * in one piece. Both lie in the kernel when the loop turns again, and the
 * request was read first: a server began to work half a second after the caller
 * had left, for each of those that the standstill had kept waiting.
 */
TEST_F(EarlyEndsTest, ARequestWhoseCallerLeftMeanwhileIsNotSent)
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
 * A node that stops reads a large document in one piece. A request came on an
 * idle connection meanwhile; the tick after it closed that connection before
 * the request was read, and the caller got no answer.
 */
TEST_F(EarlyEndsTest, AStopClosesNothingThatMayLieUnread)
{
	App &app = add_app("i-1");

	start_node();
	auto caller = call(get("a1", "/r/"));
	wait_for([&] { return is_whole(*caller); });
	run_for(400);
	ASSERT_FALSE(callers_are_unread(edge));
	caller->got.clear();
	caller->send(get("a2", "/r/"));
	g_usleep(600 * 1000);
	/* What a stop does at each tick once its requests are taken. */
	callers_sweep(edge);
	EXPECT_TRUE(callers_are_unread(edge));
	if (!callers_are_unread(edge))
		callers_close_idle(edge);
	wait_for([&] { return is_whole(*caller); });
	EXPECT_EQ(200, status_of(caller->got));
	EXPECT_EQ(1u, app_stand_runs(app.stand, "a2"));
	run_for(600);
	EXPECT_FALSE(callers_are_unread(edge));
}

/*
 * A node is suspended while it waits for its sockets. An answer of the store
 * that came before lies in one, and is read before any timer tells of the
 * suspension: dated as it was read, it confirmed routes that had been replaced
 * seconds ago, and callers of new ones got a final 404.
 */
TEST_F(EarlyEndsTest, WhatIsReadBeforeALateTimerIsOld)
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
