/* Faults on connections to backend servers. */
#include "core/duration.h"
#include "edge/edge_world.h"
#include "standins/relay.h"

namespace
{

/* A server behind a relay that injects faults. */
class LinkFaultTest : public EdgeWorld
{
      protected:
	void SetUp() override
	{
		EdgeWorld::SetUp();
		struct endpoint any = endpoint_at(0);
		App &app = add_app("i-1");
		relay = relay_open(&loop, &any, app_stand_at(app.stand));
		list_at("i-1", *relay_at(relay));
		start_node();
	}
	void TearDown() override
	{
		relay_close(relay);
		EdgeWorld::TearDown();
	}
	struct relay *relay = nullptr;
};

struct fault_case {
	const char *name;
	const char *description;
	enum relay_harm fault;
	const char *path; /* "/r/" may run twice, "/o/" at most once */
	int faulted_status; /* status of the request that meets the fault */
	int next_status; /* status of the next request, without the fault */
};

/*
 * A request has used the connection. The fault occurs while the connection is
 * idle, and then the next request comes.
 */
const fault_case fault_cases[] = {
	{ "Delayed", "late, and complete", RELAY_DELAY, "/r/", 200, 200 },
	{ "ResetRead", "sent again on a new connection", RELAY_RESET, "/r/",
	  200, 200 },
	{ "ResetOnce", "the reset is detected before anything is sent",
	  RELAY_RESET, "/o/", 200, 200 },
	{ "StaleOnce", "no answer: it may have run, so 504 rather than 503",
	  RELAY_STALE, "/o/", 504, 200 },
	{ "StaleRead", "no answer before the caller's deadline", RELAY_STALE,
	  "/r/", 504, 200 },
	{ "CutOnRequest", "the request is lost in transit", RELAY_CUT_THERE,
	  "/o/", 504, 200 },
	{ "CutOnAnswer", "it ran, and the answer is lost", RELAY_CUT_BACK,
	  "/o/", 504, 200 },
};

class LinkFaultCaseTest : public LinkFaultTest,
			  public ::testing::WithParamInterface<fault_case>
{
};

TEST_P(LinkFaultCaseTest, GetsACorrectAnswer)
{
	const fault_case &c = GetParam();
	std::string more = "Lilacfield-Deadline-Ms: 900\r\n";

	SCOPED_TRACE(c.description);
	EXPECT_EQ(200, status_of(answer_to(get("a0", c.path))));
	relay_set(relay, c.fault);
	run_for(50);
	std::string answer = answer_to(get("a1", c.path, more));
	EXPECT_EQ(c.faulted_status, status_of(answer)) << answer;
	relay_set(relay, RELAY_PASS);
	/* A server that failed may get no requests for a moment. */
	wait_for([&] {
		static int number = 0;
		std::string id = "b" + std::to_string(number++);

		return status_of(answer_to(get(id, c.path))) == c.next_status;
	});
	EXPECT_GE(1u, app_stand_runs(apps[0].stand, "a1"));
}

INSTANTIATE_TEST_SUITE_P(Cases, LinkFaultCaseTest,
			 ::testing::ValuesIn(fault_cases),
			 [](const auto &info) { return info.param.name; });

/* The answer is complete, and no faster than the link's rate allows. */
TEST_F(LinkFaultTest, NarrowLinkLimitsThroughput)
{
	const uint64_t bytes_per_s = 1000;
	const uint64_t min_bytes = 60; /* of an answer with its headers */

	relay_narrow(relay, bytes_per_s);
	uint64_t begin_us = edge_now_us(edge);
	EXPECT_EQ(200, status_of(answer_to(get("a0", "/r/"))));
	EXPECT_GE(edge_now_us(edge) - begin_us,
		  min_bytes * US_PER_S / bytes_per_s);
	relay_set(relay, RELAY_PASS);
	EXPECT_EQ(200, status_of(answer_to(get("a1", "/r/"))));
}

/*
 * A middlebox drops the state of all connections after an idle period. The
 * first request times out; its timeout must close the other kept connections,
 * or each of them would cost one more caller the same.
 */
TEST_F(LinkFaultTest, OneDeadConnectionClosesTheOthers)
{
	std::vector<std::unique_ptr<RawCaller>> callers;

	for (int i = 0; i < 3; i++)
		callers.push_back(call(get("a" + std::to_string(i), "/o/")));
	wait_for([&] {
		for (const auto &caller : callers)
			if (!is_whole(*caller))
				return false;
		return true;
	});
	ASSERT_LE(2u, relay_connections(relay));
	relay_set(relay, RELAY_STALE);
	relay_set(relay, RELAY_PASS);
	EXPECT_EQ(504,
		  status_of(answer_to(get("b0", "/o/",
					  "Lilacfield-Deadline-Ms: 400\r\n"))));
	EXPECT_EQ(200,
		  status_of(answer_to(get("b1", "/o/",
					  "Lilacfield-Deadline-Ms: 400\r\n"))));
}

} // namespace
