/* Crashes under one request whose events reach the node in an unusual order. */
#include "edge/edge_world.h"

namespace
{

enum disturbance {
	NODE_STALLS, /* once it has seen the connection's end */
	NODE_STALLS_BEFORE_READ, /* the next request; timers ran before */
	NODE_STALLS_WHILE_HELD, /* the next request, for the crash check */
	LISTENER_LAST,
	OTHERS_LAST,
	PORT_TAKEN, /* another server listens there before the probe */
};

struct order_case {
	const char *name;
	enum disturbance disturbance;
	int crash; /* which one is disturbed; 0: none */
	uint64_t ms;
	bool two_domains;
};

const order_case order_cases[] = {
	{ "Undisturbed", NODE_STALLS, 0, 0, false },
	{ "StallAfterFirst", NODE_STALLS, 1, 6, false },
	{ "StallAfterSecond", NODE_STALLS, 2, 6, false },
	{ "StallAfterSecondInTwoDomains", NODE_STALLS, 2, 6, true },
	{ "LongStallAfterSecond", NODE_STALLS, 2, 80, false },
	{ "StallAfterThird", NODE_STALLS, 3, 6, false },
	{ "StallBeforeReadAfterFirst", NODE_STALLS_BEFORE_READ, 1, 6, false },
	{ "StallBeforeReadAfterSecond", NODE_STALLS_BEFORE_READ, 2, 6, false },
	{ "StallBeforeReadAfterSecondInTwoDomains", NODE_STALLS_BEFORE_READ, 2,
	  6, true },
	{ "LongStallBeforeReadAfterSecond", NODE_STALLS_BEFORE_READ, 2, 80,
	  false },
	{ "StallBeforeReadAfterThird", NODE_STALLS_BEFORE_READ, 3, 6, false },
	{ "StallWhileHeldAfterSecond", NODE_STALLS_WHILE_HELD, 2, 6, false },
	{ "StallWhileHeldAfterSecondInTwoDomains", NODE_STALLS_WHILE_HELD, 2, 6,
	  true },
	{ "ListenerLastAtFirst", LISTENER_LAST, 1, 10, false },
	{ "ListenerLastAtSecond", LISTENER_LAST, 2, 10, false },
	{ "ListenerLastAtThird", LISTENER_LAST, 3, 10, false },
	{ "ListenerLastAtThirdInTwoDomains", LISTENER_LAST, 3, 10, true },
	{ "OthersLastAtFirst", OTHERS_LAST, 1, 10, false },
	{ "OthersLastAtSecond", OTHERS_LAST, 2, 10, false },
	{ "OthersLastAtSecondInTwoDomains", OTHERS_LAST, 2, 10, true },
	{ "OthersLastLongAtThird", OTHERS_LAST, 3, 300, false },
	{ "OthersLastAtThird", OTHERS_LAST, 3, 10, false },
	{ "PortTakenAtFirst", PORT_TAKEN, 1, 0, false },
	{ "PortTakenAtSecond", PORT_TAKEN, 2, 0, false },
	{ "PortTakenAtThird", PORT_TAKEN, 3, 0, false },
};

class CrashOrderTest : public EdgeWorld,
		       public ::testing::WithParamInterface<order_case>
{
      protected:
	static constexpr int SERVERS = 8;
	static constexpr int CALLERS = 5;

	void TearDown() override
	{
		if (successor)
			app_stand_close(successor);
		callers.clear();
		if (prepare.data)
			uv_close((uv_handle_t *)&prepare, nullptr);
		EdgeWorld::TearDown();
	}
	void add_apps(bool two_domains)
	{
		for (int i = 1; i <= SERVERS; i++) {
			App &app = add_app("i-" + std::to_string(i), 20, "s",
					   two_domains && i % 2 ? "d2" : "d1");

			app_stand_set_deadly(app.stand, "/r/deadly");
			ports.push_back(*app_stand_at(app.stand));
		}
	}
	int count_crashed() const
	{
		int count = 0;

		for (const App &app : apps)
			count += app_stand_has_ended(app.stand);
		return count;
	}
	bool each_has_two_connections() const
	{
		for (const App &app : apps)
			if (app_stand_connections(app.stand) < 2)
				return false;
		return true;
	}
	/* So that each server has a connection besides the deadly request's. */
	void open_idle_connections()
	{
		for (int round = 0; round < 10; round++) {
			std::vector<std::unique_ptr<RawCaller>> others;

			for (int i = 0; i < 4 * SERVERS; i++) {
				std::string n = std::to_string(100 * round + i);

				others.push_back(call(
					"GET /r/other HTTP/1.1\r\n"
					"Host: h.example\r\n"
					"Lilacfield-Attempt-Id: o" +
					n + "\r\nLilacfield-Affinity-Key: k" +
					n + "\r\n\r\n"));
			}
			for (const auto &other : others)
				wait_for([&] { return is_whole(*other); });
			if (each_has_two_connections())
				return;
		}
		FAIL() << "a server has fewer than two connections";
	}
	/* Connected in advance: the request is in the node's socket at once. */
	void connect_callers()
	{
		for (int i = 0; i < CALLERS; i++)
			callers.push_back(call(""));
		for (const auto &caller : callers)
			wait_for([&] { return caller->connected; });
		run_for(20);
	}
	void send_next()
	{
		callers[sent]->send(
			get("again-" + std::to_string(sent), "/r/deadly"));
		sent++;
	}
	void set_end(enum app_end end)
	{
		for (const App &app : apps)
			if (!app_stand_has_ended(app.stand))
				app_stand_set_end(app.stand, end,
						  GetParam().ms);
	}
	void take_port()
	{
		struct app_settings other = {};

		other.id = "i-successor";
		other.slots = 4;
		other.queue = 4;
		other.work_us = 20 * US_PER_MS;
		for (int i = 0; i < SERVERS; i++)
			if (app_stand_has_ended(apps[i].stand) && !was_ended[i])
				successor = app_stand_open(&loop, &ports[i],
							   &other);
	}
	/* The caller's next request arrives while the node stands still. */
	void stall()
	{
		if (sent * 2 == GetParam().crash)
			send_next();
		uv_sleep((unsigned)GetParam().ms);
	}
	bool is_due() const
	{
		return !disturbed && count_crashed() == GetParam().crash &&
		       crash_watch_is_busy(edge->crashes);
	}
	/* Sends it first. */
	bool is_next_held()
	{
		if (sent == 1)
			send_next();
		return edge->exchanges > 0;
	}
	static void on_prepare(uv_prepare_t *prepare)
	{
		auto *test = (CrashOrderTest *)prepare->data;

		if (!test->is_due())
			return;
		if (GetParam().disturbance == NODE_STALLS_WHILE_HELD &&
		    !test->is_next_held())
			return;
		test->disturbed = true;
		test->stall();
	}
	void stall_in_loop()
	{
		uv_prepare_init(&loop, &prepare);
		prepare.data = this;
		uv_prepare_start(&prepare, on_prepare);
	}
	void disturb()
	{
		const order_case &c = GetParam();
		int crashed = count_crashed();

		if (c.disturbance == LISTENER_LAST ||
		    c.disturbance == OTHERS_LAST)
			set_end(crashed != c.crash - 1 ? APP_END_AT_ONCE :
				c.disturbance == LISTENER_LAST ?
							 APP_END_LISTENER_LAST :
							 APP_END_OTHERS_LAST);
		if (!prepare.data && is_due()) {
			disturbed = true;
			if (c.disturbance == PORT_TAKEN)
				take_port();
			else if (c.disturbance == NODE_STALLS)
				stall();
		}
		for (int i = 0; crashed < c.crash && i < SERVERS; i++)
			was_ended[i] = app_stand_has_ended(apps[i].stand);
	}

	std::vector<std::unique_ptr<RawCaller>> callers;
	std::vector<struct endpoint> ports;
	struct app_stand *successor = nullptr;
	uv_prepare_t prepare = {};
	bool was_ended[SERVERS] = {};
	bool disturbed = false;
	int sent = 0;
};

/*
 * Guards against a fourth crash under one request when the check of an earlier
 * one is late, or is answered by something other than the crashed server.
 */
TEST_P(CrashOrderTest, AtMostThreeServersCrash)
{
	add_apps(GetParam().two_domains);
	start_node();
	if (GetParam().disturbance == OTHERS_LAST)
		open_idle_connections();
	connect_callers();
	if (GetParam().disturbance == NODE_STALLS_BEFORE_READ ||
	    GetParam().disturbance == NODE_STALLS_WHILE_HELD)
		stall_in_loop();
	for (int i = 0; i < CALLERS; i++) {
		if (sent == i)
			send_next();
		wait_for([&] {
			disturb();
			return is_whole(*callers[i]);
		});
	}
	EXPECT_EQ(GetParam().crash > 0, disturbed);
	EXPECT_EQ(3, count_crashed());
	EXPECT_EQ(503, status_of(callers[CALLERS - 1]->got));
}

INSTANTIATE_TEST_SUITE_P(Cases, CrashOrderTest,
			 ::testing::ValuesIn(order_cases),
			 [](const auto &info) { return info.param.name; });

} /* namespace */
