#include "core/gate.h"

#include <gtest/gtest.h>

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

static const uint64_t MS = 1000;
static const uint64_t S = 1000 * 1000;

/* A gate with a simulated clock, and helpers for the usual calls. */
class GateTest : public testing::Test
{
      protected:
	void SetUp() override
	{
		gate = gate_new();
	}

	void TearDown() override
	{
		gate_free(gate);
	}

	void set(std::vector<gate_backend_spec> specs)
	{
		gate_set_backends(gate, specs.data(), specs.size(), now_us);
	}

	gate_decision offer(enum service_class class_of = SERVICE_INTERACTIVE,
			    uint64_t timeout_us = 2 * S, void *waiter = nullptr)
	{
		gate_request request = { class_of, now_us + timeout_us,
					 waiter };
		gate_decision decision;

		gate_offer(gate, &request, now_us, &decision);
		return decision;
	}

	/* Offer a request; its server's name, or "" if it doesn't run. */
	std::string run(uint32_t *handle = nullptr)
	{
		gate_decision decision =
			offer(SERVICE_INTERACTIVE, 2 * S, this);

		if (decision.verdict != GATE_RUN) {
			gate_cancel(gate, this);
			return "";
		}
		if (handle)
			*handle = decision.backend;
		return gate_backend_name(gate, decision.backend);
	}

	void finish(uint32_t handle, enum gate_outcome outcome,
		    uint64_t service_us = 20 * MS)
	{
		gate_finish(gate, handle, outcome, service_us, now_us);
	}

	/* Run requests one by one; slow answers in slow_us, others in 20 ms. */
	void answer(int count, uint64_t slow_us, const std::string &slow = "")
	{
		for (int i = 0; i < count; i++) {
			uint32_t handle = 0;
			std::string name = run(&handle);

			ASSERT_NE("", name);
			now_us += 20 * MS;
			finish(handle, GATE_ANSWERED,
			       name == slow ? slow_us : 20 * MS);
		}
	}

	uint32_t usable()
	{
		gate_summary summary;

		gate_summarise(gate, now_us, &summary);
		return summary.slots;
	}

	struct gate *gate;
	uint64_t now_us = 100 * S;
	int waiters[GATE_MAX_WAITING + 64] = {};
};

struct share_case {
	uint32_t slots;
	uint32_t count;
};

class GateShare : public testing::TestWithParam<share_case>
{
};

TEST_P(GateShare, SharesAddUpAndDifferByAtMostOne)
{
	const share_case &c = GetParam();
	uint32_t sum = 0;

	for (uint32_t rank = 0; rank < c.count; rank++) {
		uint32_t share = gate_share(c.slots, rank, c.count);

		EXPECT_GE(share, c.slots / c.count);
		EXPECT_LE(share, c.slots / c.count + 1);
		sum += share;
	}
	EXPECT_EQ(c.slots, sum);
	EXPECT_EQ(0u, gate_share(c.slots, c.count, c.count));
}

INSTANTIATE_TEST_SUITE_P(Sizes, GateShare,
			 testing::Values(share_case{ 7, 2 }, share_case{ 3, 2 },
					 share_case{ 1, 3 }, share_case{ 0, 2 },
					 share_case{ 8, 1 },
					 share_case{ 4000000000u, 7 }));

TEST_F(GateTest, RunsNoMoreThanItsSlots)
{
	int runs = 0;

	set({ { "a", 2, 0, false, false }, { "b", 3, 0, false, false } });
	for (int i = 0; i < 50; i++)
		runs += offer(SERVICE_BACKGROUND, 60 * S, &waiters[i]).verdict ==
			GATE_RUN;
	EXPECT_EQ(5, runs);
}

TEST_F(GateTest, FasterServerFirstAndSlowOnesWhenSlotsAreNeeded)
{
	int on_old = 0;

	set({ { "new", 2, 0, false, false }, { "old", 2, 0, false, false } });
	for (int i = 0; i < 10; i++) {
		std::vector<uint32_t> handles;
		uint32_t handle;

		while (run(&handle) != "")
			handles.push_back(handle);
		EXPECT_GE(handles.size(), 2u);
		now_us += 60 * MS;
		for (uint32_t each : handles)
			finish(each, GATE_ANSWERED,
			       each == 1 ? 60 * MS : 20 * MS);
	}
	EXPECT_EQ("new", run());
	EXPECT_EQ("new", run());
	for (int i = 0; i < 20; i++)
		offer(SERVICE_INTERACTIVE, 2 * S, &waiters[i]);
	struct gate_grant grant;
	while (gate_next(gate, now_us, &grant))
		if (grant.decision.verdict == GATE_RUN)
			on_old++;
	EXPECT_EQ(2, on_old);
}

/*
 * A server whose load page is late or wrong reports zero load; every node that
 * relies on the report sends it the next request and overloads it. The node's
 * own requests in flight must count regardless of the report.
 */
TEST_F(GateTest, ReportOfNoLoadDoesNotOverrideOwnRequests)
{
	set({ { "a", 4, 0, false, false }, { "b", 4, 0, false, false } });
	std::string first = run();
	std::string second = first == "a" ? "b" : "a";

	gate_record_report(gate, first.c_str(), 0, false, now_us);
	EXPECT_EQ(second, run());
}

TEST_F(GateTest, ReportedLoadOfOthersCountsWhileItIsFresh)
{
	set({ { "a", 4, 8, false, false }, { "b", 4, 8, false, false } });
	gate_record_report(gate, "a", 8, false, now_us);
	EXPECT_EQ("b", run());
	EXPECT_EQ("b", run());
	now_us += 60 * S;
	EXPECT_EQ("a", run());
}

struct leaving_case {
	const char *name;
	bool in_spec;
	bool in_report;
	bool gone;
};

class GateLeaving : public GateTest,
		    public testing::WithParamInterface<leaving_case>
{
};

/*
 * A leaving server still gets new requests, which are cut off, because one of
 * the signs of leaving is ignored. Each sign alone must be enough, and requests
 * in flight must still finish.
 */
TEST_P(GateLeaving, GetsNoNewRequestsAndFinishesItsOwn)
{
	const leaving_case &c = GetParam();
	uint32_t handle = 0;

	set({ { "a", 2, 0, false, false } });
	EXPECT_EQ("a", run(&handle));
	if (c.gone)
		set({ { "b", 1, 0, false, false } });
	else
		set({ { "a", 2, 0, c.in_spec, false },
		      { "b", 1, 0, false, false } });
	if (c.in_report)
		gate_record_report(gate, "a", 1, true, now_us);
	EXPECT_EQ("b", run());
	EXPECT_EQ("", run());
	EXPECT_STREQ("a", gate_backend_name(gate, handle));
	finish(handle, GATE_ANSWERED);
	EXPECT_EQ("", run());
}

INSTANTIATE_TEST_SUITE_P(
	Signs, GateLeaving,
	testing::Values(leaving_case{ "spec", true, false, false },
			leaving_case{ "report", false, true, false },
			leaving_case{ "gone", false, false, true }),
	[](const testing::TestParamInfo<leaving_case> &info) {
		return info.param.name;
	});

struct failure_case {
	const char *name;
	enum gate_outcome outcome;
	int failures; /* in a row that mark it down */
};

class GateFailure : public GateTest,
		    public testing::WithParamInterface<failure_case>
{
};

/*
 * A server fails its requests while its health page still says "alive", and
 * requests keep going there although other servers are idle. The failures alone
 * must mark it down at once; a trial and a ramp bring it back.
 */
TEST_P(GateFailure, MarksTheServerDownThenRampsItUp)
{
	const failure_case &c = GetParam();
	uint32_t handle = 0;
	std::vector<uint32_t> good;
	std::vector<uint32_t> bad;

	set({ { "a", 4, 0, false, false }, { "b", 4, 0, false, false } });
	while (bad.size() < (size_t)c.failures) {
		std::string name = run(&handle);

		ASSERT_NE("", name);
		(name == "a" ? bad : good).push_back(handle);
	}
	for (uint32_t each : good)
		finish(each, GATE_ANSWERED);
	for (uint32_t each : bad) {
		EXPECT_EQ(8u, usable());
		finish(each, c.outcome);
	}
	EXPECT_EQ(4u, usable());
	now_us += 501 * MS;
	EXPECT_EQ(5u, usable());
	for (int i = 0; i < 5 && run(&handle) != "a"; i++)
		good.push_back(handle);
	ASSERT_STREQ("a", gate_backend_name(gate, handle));
	EXPECT_EQ(4u, usable());
	finish(handle, GATE_ANSWERED, 5 * MS);
	EXPECT_EQ(5u, usable());
	answer(6, 0);
	EXPECT_EQ(8u, usable());
}

INSTANTIATE_TEST_SUITE_P(
	Outcomes, GateFailure,
	testing::Values(failure_case{ "connect", GATE_CONNECT_FAILED, 2 },
			failure_case{ "broken", GATE_BROKEN, 3 },
			failure_case{ "timed_out", GATE_TIMED_OUT, 3 }),
	[](const testing::TestParamInfo<failure_case> &info) {
		return info.param.name;
	});

/*
 * A database that all servers depend on fails; one server after the other is
 * marked down and the last one gets all the load. Failed requests may mark down
 * servers with at most half of the slots.
 */
TEST_F(GateTest, FailuresOfAllServersLeaveHalfOfTheSlots)
{
	uint32_t handle = 0;

	set({ { "a", 2, 0, false, false },
	      { "b", 2, 0, false, false },
	      { "c", 2, 0, false, false },
	      { "d", 2, 0, false, false } });
	for (int i = 0; i < 200; i++) {
		ASSERT_NE("", run(&handle));
		finish(handle, GATE_BROKEN);
		EXPECT_GE(usable(), 4u);
	}
}

TEST_F(GateTest, FailedProbesDoNotMarkDownAServerThatAnswers)
{
	set({ { "a", 1, 0, false, false } });
	answer(1, 0);
	for (int i = 0; i < 5; i++)
		gate_record_probe(gate, "a", false, now_us);
	EXPECT_EQ(1u, usable());
	now_us += 10 * S;
	gate_record_probe(gate, "a", false, now_us);
	EXPECT_EQ(0u, usable());
	gate_record_probe(gate, "a", true, now_us);
	EXPECT_EQ(1u, usable());
}

TEST_F(GateTest, ShedPausesTheServerForAShortTime)
{
	uint32_t handle = 0;

	set({ { "a", 4, 0, false, false } });
	EXPECT_EQ("a", run(&handle));
	finish(handle, GATE_SHED);
	EXPECT_EQ(0u, usable());
	now_us += 21 * MS;
	EXPECT_GE(usable(), 1u);
	EXPECT_LT(usable(), 4u);
}

TEST_F(GateTest, ColdServerStartsWithOneSlotAndWarmsUp)
{
	set({ { "a", 4, 0, false, true } });
	EXPECT_EQ(1u, usable());
	answer(1, 0);
	set({ { "a", 4, 0, false, true } });
	answer(5, 0);
	EXPECT_EQ(4u, usable());
}

struct refusal_case {
	const char *name;
	uint32_t slots;
	uint64_t timeout_us;
	enum result refusal;
};

class GateRefusal : public GateTest,
		    public testing::WithParamInterface<refusal_case>
{
};

TEST_P(GateRefusal, IsImmediateAndHasARetryAfterTime)
{
	const refusal_case &c = GetParam();
	gate_decision decision;

	set({ { "a", 1, 0, false, false } });
	answer(20, 0);
	set({ { "a", c.slots, 0, false, false } });
	decision = offer(SERVICE_INTERACTIVE, c.timeout_us);
	EXPECT_EQ(GATE_REFUSE, decision.verdict);
	EXPECT_EQ(c.refusal, decision.refusal);
	EXPECT_GT(decision.retry_after_us, 0u);
}

INSTANTIATE_TEST_SUITE_P(
	Reasons, GateRefusal,
	testing::Values(
		refusal_case{ "expired", 1, 0, RESULT_DEADLINE_EXPIRED },
		refusal_case{ "short", 1, 10 * MS, RESULT_DEADLINE_TOO_SHORT },
		refusal_case{ "nowhere", 0, 2 * S, RESULT_NO_PLACE }),
	[](const testing::TestParamInfo<refusal_case> &info) {
		return info.param.name;
	});

/*
 * Under a long overload requests queue until their deadlines, every answer is
 * late, and servers work on requests whose callers have given up. The queue
 * must stay short however far away the deadlines are.
 */
TEST_F(GateTest, StandingQueueOfInteractiveRequestsStaysShort)
{
	uint32_t handle = 0;
	int waiting = 0;
	gate_grant grant;

	set({ { "a", 1, 0, false, false } });
	answer(20, 0);
	ASSERT_EQ("a", run(&handle));
	for (int i = 0; i < 600; i++) {
		if (i % 3 == 2) {
			now_us += 20 * MS;
			finish(handle, GATE_ANSWERED);
			while (gate_next(gate, now_us, &grant)) {
				waiting--;
				if (grant.decision.verdict == GATE_RUN)
					handle = grant.decision.backend;
			}
		}
		waiting += offer(SERVICE_INTERACTIVE, 10 * S, &waiters[i])
				   .verdict == GATE_WAIT;
		ASSERT_LE(waiting, i > 100 ? 5 : 10);
	}
}

TEST_F(GateTest, ExpiredWaiterIsRefusedAtOnce)
{
	gate_grant grant;
	gate_decision decision;
	uint64_t due_us;

	set({ { "a", 1, 0, false, false } });
	answer(20, 0);
	ASSERT_EQ("a", run());
	decision = offer(SERVICE_INTERACTIVE, 50 * MS, &waiters[0]);
	ASSERT_EQ(GATE_WAIT, decision.verdict);
	EXPECT_FALSE(gate_next(gate, now_us, &grant));
	due_us = gate_next_due_us(gate);
	EXPECT_LT(due_us, now_us + 50 * MS);
	now_us = due_us;
	ASSERT_TRUE(gate_next(gate, now_us, &grant));
	EXPECT_EQ(&waiters[0], grant.waiter);
	EXPECT_EQ(GATE_REFUSE, grant.decision.verdict);
	EXPECT_FALSE(gate_cancel(gate, &waiters[0]));
	EXPECT_EQ(UINT64_MAX, gate_next_due_us(gate));
}

/*
 * A request waits for one of the fast servers, those hang, and it is refused
 * although a slow server has a free slot. It must run on the slow server once
 * its time to wait is over.
 */
TEST_F(GateTest, FreeSlowSlotIsUsedWhenTheFastOnesHang)
{
	gate_grant grant;
	uint32_t handle;

	set({ { "fast", 2, 0, false, false }, { "slow", 1, 0, false, false } });
	for (int i = 0; i < 10; i++) {
		std::vector<uint32_t> handles;

		while (run(&handle) != "")
			handles.push_back(handle);
		now_us += 50 * MS;
		for (uint32_t each : handles)
			finish(each, GATE_ANSWERED,
			       each == 1 ? 100 * MS : 20 * MS);
	}
	EXPECT_EQ("fast", run());
	EXPECT_EQ("fast", run());
	ASSERT_EQ(GATE_WAIT,
		  offer(SERVICE_INTERACTIVE, 2 * S, &waiters[0]).verdict);
	EXPECT_FALSE(gate_next(gate, now_us, &grant));
	now_us = gate_next_due_us(gate);
	ASSERT_TRUE(gate_next(gate, now_us, &grant));
	ASSERT_EQ(GATE_RUN, grant.decision.verdict);
	EXPECT_STREQ("slow", gate_backend_name(gate, grant.decision.backend));
}

/* The retry-after time stays short even if all servers are down. */
TEST_F(GateTest, RetryAfterIsShortWhenAllServersAreDown)
{
	uint32_t handle = 0;
	gate_decision decision;

	set({ { "a", 2, 0, false, false } });
	for (int i = 0; i < 2; i++) {
		ASSERT_EQ("a", run(&handle));
		finish(handle, GATE_CONNECT_FAILED);
	}
	decision = offer();
	EXPECT_EQ(GATE_REFUSE, decision.verdict);
	EXPECT_LT(decision.retry_after_us, 3 * S);
}

/*
 * In any sequence of calls no server gets more requests than its slots, no
 * leaving server gets a request, and each waiter gets exactly one grant.
 */
TEST_F(GateTest, RandomCallsKeepTheInvariants)
{
	static const char *const names[] = { "a", "b", "c" };
	static const enum gate_outcome outcomes[] = {
		GATE_ANSWERED, GATE_ANSWERED,  GATE_ANSWERED,	    GATE_SHED,
		GATE_BROKEN,   GATE_TIMED_OUT, GATE_CONNECT_FAILED,
	};
	std::mt19937 random(7);
	std::vector<uint32_t> running;
	std::map<std::string, int> in_flight;
	std::map<std::string, bool> leaving;
	std::set<void *> waiting;
	std::vector<gate_backend_spec> specs;
	auto started = [&](const gate_decision &decision) {
		std::string name = gate_backend_name(gate, decision.backend);

		ASSERT_FALSE(leaving[name]);
		ASSERT_LE(++in_flight[name], 3);
		running.push_back(decision.backend);
	};

	for (const char *name : names)
		specs.push_back({ name, 3, 0, false, false });
	set(specs);
	for (int i = 0; i < 60000; i++) {
		int *waiter = &waiters[i % GATE_MAX_WAITING];
		gate_decision decision;
		gate_grant grant;
		uint32_t which = random() % 3;

		now_us += random() % (4 * MS);
		switch (random() % 16) {
		case 0:
			leaving[names[which]] = specs[which].leaving =
				random() % 3 == 0;
			set(specs);
			break;
		case 1:
			gate_record_report(gate, names[which], random() % 9,
					   false, now_us);
			gate_record_probe(gate, names[which], random() % 2,
					  now_us);
			break;
		case 2:
			EXPECT_EQ(waiting.erase(waiter),
				  gate_cancel(gate, waiter) ? 1u : 0u);
			break;
		case 3 ... 8:
			if (running.empty())
				break;
			std::swap(running[random() % running.size()],
				  running.back());
			in_flight[gate_backend_name(gate, running.back())]--;
			finish(running.back(), outcomes[random() % 7],
			       random() % (60 * MS));
			running.pop_back();
			break;
		default:
			if (waiting.count(waiter))
				break;
			decision = offer((enum service_class)which,
					 random() % (400 * MS), waiter);
			if (decision.verdict == GATE_RUN)
				started(decision);
			else if (decision.verdict == GATE_WAIT)
				waiting.insert(waiter);
		}
		while (gate_next(gate, now_us, &grant)) {
			ASSERT_EQ(1u, waiting.erase(grant.waiter));
			if (grant.decision.verdict == GATE_RUN)
				started(grant.decision);
		}
		ASSERT_FALSE(HasFatalFailure());
		ASSERT_EQ(waiting.empty(),
			  gate_next_due_us(gate) == UINT64_MAX);
		ASSERT_GT(gate_next_due_us(gate), now_us);
	}
}

TEST_F(GateTest, WaitersAreRefusedWhenTheLastServerLeaves)
{
	gate_grant grant;

	set({ { "a", 1, 0, false, false } });
	ASSERT_EQ("a", run());
	ASSERT_EQ(GATE_WAIT,
		  offer(SERVICE_BACKGROUND, 60 * S, &waiters[0]).verdict);
	gate_record_report(gate, "a", 1, true, now_us);
	ASSERT_TRUE(gate_next(gate, now_us, &grant));
	EXPECT_EQ(GATE_REFUSE, grant.decision.verdict);
}

/*
 * Urgent requests take every free slot, and background work never finishes. One
 * grant in eight goes to background requests.
 */
TEST_F(GateTest, BackgroundWorkIsNotStarved)
{
	gate_grant grant;
	uint32_t handle = 0;
	int background = 0;

	set({ { "a", 1, 0, false, false } });
	answer(20, 0);
	ASSERT_EQ("a", run(&handle));
	for (int i = 0; i < 10; i++)
		ASSERT_EQ(
			GATE_WAIT,
			offer(SERVICE_BACKGROUND, 600 * S, &waiters[i]).verdict);
	for (int i = 0; i < 64; i++) {
		offer(SERVICE_NON_IDEMPOTENT, 60 * S, &waiters[100 + i]);
		finish(handle, GATE_ANSWERED);
		ASSERT_TRUE(gate_next(gate, now_us, &grant));
		ASSERT_EQ(GATE_RUN, grant.decision.verdict);
		handle = grant.decision.backend;
		background += (int *)grant.waiter < &waiters[10];
	}
	EXPECT_EQ(8, background);
}

TEST_F(GateTest, SameWaiterTwiceIsRefusedNotLost)
{
	set({ { "a", 1, 0, false, false } });
	ASSERT_EQ("a", run());
	EXPECT_EQ(GATE_WAIT,
		  offer(SERVICE_BACKGROUND, 60 * S, &waiters[0]).verdict);
	EXPECT_EQ(GATE_REFUSE,
		  offer(SERVICE_BACKGROUND, 60 * S, &waiters[0]).verdict);
	EXPECT_TRUE(gate_cancel(gate, &waiters[0]));
	EXPECT_EQ(UINT64_MAX, gate_next_due_us(gate));
}

TEST_F(GateTest, EarlierDeadlineRunsFirst)
{
	gate_grant grant;
	uint32_t handle = 0;

	set({ { "a", 1, 0, false, false } });
	answer(20, 0);
	ASSERT_EQ("a", run(&handle));
	offer(SERVICE_INTERACTIVE, 2 * S, &waiters[0]);
	offer(SERVICE_INTERACTIVE, 70 * MS, &waiters[1]);
	finish(handle, GATE_ANSWERED);
	ASSERT_TRUE(gate_next(gate, now_us, &grant));
	EXPECT_EQ(&waiters[1], grant.waiter);
}

TEST_F(GateTest, RetryAfterTimesAreSpreadAndGrow)
{
	uint64_t min_us = UINT64_MAX;
	uint64_t max_us = 0;
	uint64_t early_us = 0;
	uint64_t late_us = 0;

	set({ { "a", 1, 0, false, false } });
	ASSERT_EQ("a", run());
	for (int i = 0; i < 400; i++) {
		gate_decision decision =
			offer(SERVICE_INTERACTIVE, 60 * MS, &waiters[i]);

		if (decision.verdict != GATE_REFUSE)
			continue;
		if (i < 50)
			early_us += decision.retry_after_us;
		if (i >= 350) {
			late_us += decision.retry_after_us;
			min_us = MIN(min_us, decision.retry_after_us);
			max_us = MAX(max_us, decision.retry_after_us);
		}
	}
	EXPECT_GT(late_us, 2 * early_us);
	EXPECT_GT(max_us, 2 * min_us);
}
