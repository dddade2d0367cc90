#include "core/steer.h"
#include "core/steer_place.h"
#include "core/steer_shift.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <vector>

static const uint64_t ms = 1000;
static const uint64_t second = 1000 * ms;

enum { HOME, NEAR, FAR, PLACES };

static const char *const names[PLACES] = { "home", "near", "far" };
static const uint64_t one_way_us[PLACES] = { 0, 500, 55 * ms };
static const uint32_t slots = 16;
static const uint64_t service_us = 10 * ms;
static const uint64_t far_us = 120 * ms; /* round trip and service */
static const uint32_t full = 4000;

class Steer : public testing::Test
{
      protected:
	struct steer *steer = steer_new();
	uint64_t now_us = 1000 * second;
	uint32_t draw = 1;
	struct steer_place_spec specs[PLACES];

	Steer()
	{
		for (uint32_t i = 0; i < PLACES; i++)
			specs[i] = { names[i], i, one_way_us[i], 0, slots,
				     false,    0 };
		configure();
	}

	~Steer() override
	{
		steer_free(steer);
	}

	void configure()
	{
		steer_set_places(steer, specs, PLACES, now_us);
	}

	void only(uint32_t place)
	{
		for (uint32_t i = 0; i < PLACES; i++)
			specs[i].drained = i != place;
		configure();
	}

	void shift(uint32_t share_permille, uint32_t cap_per_s)
	{
		struct steer_shift_spec spec = { "s", HOME, FAR, share_permille,
						 cap_per_s };

		steer_set_shifts(steer, nullptr, 0, now_us);
		steer_set_shifts(steer, &spec, 1, now_us);
	}

	uint32_t share()
	{
		return steer_shift_share(steer, 0, now_us);
	}

	void report(uint32_t place, uint32_t load, uint64_t age_us = 0,
		    uint64_t service_us = ::service_us)
	{
		uint32_t waiting = load > slots ? load - slots : 0;
		struct gate_summary summary = { slots, load - waiting, waiting,
						service_us, 0 };

		steer_report(steer, place, &summary, age_us, now_us);
	}

	void report_all(uint32_t home, uint32_t near, uint32_t far)
	{
		report(HOME, home);
		report(NEAR, near);
		report(FAR, far);
	}

	struct steer_choice
	choose(std::vector<uint32_t> tried = {},
	       enum service_class class_of = SERVICE_INTERACTIVE,
	       uint64_t time_us = 2 * second)
	{
		struct steer_request request = {};
		struct steer_choice choice;

		request.class_of = class_of;
		request.home = HOME;
		request.deadline_us = now_us + time_us;
		for (uint32_t place : tried)
			request.tried[request.tried_count++] = place;
		request.draw = draw = draw * 1664525u + 1013904223u;
		steer_choose(steer, &request, now_us, &choice);
		return choice;
	}

	void learn(const struct steer_choice &choice, enum result result,
		   uint64_t latency_us, uint64_t retry_after_us = 0)
	{
		struct steer_feedback feedback = { choice.place, choice.shift,
						   result, latency_us,
						   retry_after_us };

		steer_record(steer, &feedback, now_us);
	}

	/* Record a success with the place's normal latency. */
	void answer(const struct steer_choice &choice)
	{
		learn(choice, RESULT_OK,
		      choice.place == FAR ? far_us : service_us);
	}

	/*
	 * In each of count steps, report these loads of the first places and
	 * choose a place for one request. Requests that are sent are passed to
	 * the handler or, without one, answered. Returns the number sent.
	 */
	uint32_t
	run(uint32_t count, uint64_t step_us, std::vector<uint32_t> loads,
	    const std::function<void(const struct steer_choice &)> &handler =
		    nullptr)
	{
		uint32_t sent = 0;

		for (uint32_t i = 0; i < count; i++) {
			now_us += step_us;
			for (uint32_t p = 0; p < loads.size(); p++)
				report(p, loads[p]);
			struct steer_choice choice = choose();

			if (choice.rule == STEER_REFUSED) {
				EXPECT_GE(choice.retry_after_us, 20 * ms);
				continue;
			}
			sent++;
			if (handler)
				handler(choice);
			else
				answer(choice);
		}
		return sent;
	}

	/* Choose at one moment until a request is refused. */
	std::vector<struct steer_choice> choose_all()
	{
		std::vector<struct steer_choice> sent;
		struct steer_choice choice = choose();

		for (; choice.rule != STEER_REFUSED && sent.size() < 1000;
		     choice = choose())
			sent.push_back(choice);
		return sent;
	}

	void fail_home()
	{
		report(HOME, 0);
		for (int i = 0; i < 3; i++)
			learn(choose(), RESULT_CONNECT_FAILED, 0);
	}

	struct steer_place_view view(uint32_t place)
	{
		struct steer_place_view view = {};

		for (uint32_t i = 0; steer_view(steer, i, now_us, &view); i++)
			if (view.place == place)
				return view;
		ADD_FAILURE() << "no view of place " << place;
		return view;
	}
};

TEST_F(Steer, PrefersHomeThenLeastTimeThenQueueThenRefuses)
{
	const struct {
		const char *what;
		uint32_t home, near, far;
		enum steer_rule rule;
		uint32_t place;
		enum result refusal;
	} cases[] = {
		{ "all idle", 0, 0, 0, STEER_HOME, HOME, RESULT_OK },
		{ "home nearly full", 15, 0, 0, STEER_HOME, HOME, RESULT_OK },
		{ "home full", 32, 8, 0, STEER_LEAST_TIME, NEAR, RESULT_OK },
		{ "queueing at home takes less than the link", 18, 18, 0,
		  STEER_LEAST_TIME, HOME, RESULT_OK },
		{ "long queues but far away", 400, 400, 0, STEER_LEAST_TIME,
		  FAR, RESULT_OK },
		{ "near has only reserved slots left", 400, 14, 0,
		  STEER_LEAST_TIME, FAR, RESULT_OK },
		{ "queues everywhere", 64, 400, 400, STEER_LAST_RESORT, HOME,
		  RESULT_OK },
		{ "all full", full, full, full, STEER_REFUSED, CONFIG_NONE,
		  RESULT_OVERLOAD },
	};

	for (const auto &c : cases) {
		now_us += second;
		report_all(c.home, c.near, c.far);
		struct steer_choice choice = choose();

		EXPECT_STREQ(steer_rule_name(c.rule),
			     steer_rule_name(choice.rule))
			<< c.what;
		EXPECT_EQ(c.place, choice.place) << c.what;
		EXPECT_EQ(c.refusal, choice.refusal) << c.what;
		learn(choice, RESULT_OK, choice.expected_us);
	}
}

TEST_F(Steer, TriedDrainedAndTooFarPlacesAreNotChosen)
{
	const struct {
		const char *what;
		std::vector<uint32_t> tried, drained;
		uint64_t time_us;
		uint32_t place;
		enum result refusal;
	} cases[] = {
		{ "home tried", { HOME }, {}, second, NEAR, RESULT_OK },
		{ "home drained", {}, { HOME }, second, NEAR, RESULT_OK },
		{ "home drained, near tried",
		  { NEAR },
		  { HOME },
		  second,
		  FAR,
		  RESULT_OK },
		{ "deadline too short for far",
		  { HOME, NEAR },
		  {},
		  100 * ms,
		  CONFIG_NONE,
		  RESULT_DEADLINE_TOO_SHORT },
		{ "all drained",
		  {},
		  { HOME, NEAR, FAR },
		  second,
		  CONFIG_NONE,
		  RESULT_NO_PLACE },
		{ "no time left",
		  {},
		  {},
		  0,
		  CONFIG_NONE,
		  RESULT_DEADLINE_EXPIRED },
	};

	for (const auto &c : cases) {
		for (uint32_t i = 0; i < PLACES; i++)
			specs[i].drained = std::count(c.drained.begin(),
						      c.drained.end(), i);
		configure();
		now_us += second;
		report_all(0, 0, 0);
		struct steer_choice choice =
			choose(c.tried, SERVICE_INTERACTIVE, c.time_us);

		EXPECT_EQ(c.place, choice.place) << c.what;
		EXPECT_EQ(c.refusal, choice.refusal) << c.what;
	}
}

TEST(SteerPlace, HeadroomByReport)
{
	const struct {
		const char *what;
		uint32_t reported_slots, load;
		uint64_t age_us;
		bool at_home;
		enum service_class class_of;
		enum steer_availability availability;
		uint32_t spare;
	} cases[] = {
		{ "idle", 16, 0, 0, true, SERVICE_INTERACTIVE, STEER_HEADROOM,
		  16 },
		{ "from elsewhere", 16, 0, 0, false, SERVICE_INTERACTIVE,
		  STEER_HEADROOM, 14 },
		{ "background from elsewhere", 16, 0, 0, false,
		  SERVICE_BACKGROUND, STEER_HEADROOM, 12 },
		{ "more slots than configured", 900, 4, 0, true,
		  SERVICE_INTERACTIVE, STEER_HEADROOM, 12 },
		{ "oldest fresh report", 16, 0, STEER_REPORT_MAX_AGE_US, true,
		  SERVICE_INTERACTIVE, STEER_HEADROOM, 8 },
		{ "the last slot, old", 16, 15, STEER_REPORT_MAX_AGE_US, true,
		  SERVICE_INTERACTIVE, STEER_HEADROOM, 1 },
		{ "full", 16, 16, 0, true, SERVICE_INTERACTIVE, STEER_QUEUE,
		  0 },
		{ "no slots", 0, 0, 0, true, SERVICE_INTERACTIVE, STEER_CLOSED,
		  0 },
		{ "largest numbers", UINT32_MAX, UINT32_MAX, 0, true,
		  SERVICE_INTERACTIVE, STEER_CLOSED, 0 },
	};

	for (const auto &c : cases) {
		struct steer_place_spec spec = { "p", 0, 0, 0, 16, false, 0 };
		struct gate_summary summary = { c.reported_slots, c.load, 0,
						service_us, 0 };
		struct steer_place_request place_request = { c.class_of,
							     c.at_home,
							     102 * second };
		struct steer_estimate estimate;
		struct steer_place place;

		steer_place_init(&place, &spec, 100 * second);
		steer_place_report(&place, &summary, c.age_us, 100 * second);
		steer_place_estimate(&place, &place_request, 100 * second,
				     &estimate);
		EXPECT_EQ(c.availability, estimate.availability) << c.what;
		EXPECT_EQ(c.spare, estimate.spare) << c.what;
	}
}

TEST_F(Steer, ReportsOutOfOrderOrOfUnknownPlacesAreIgnored)
{
	report(HOME, 3, 100 * ms);
	report(HOME, 9, 300 * ms);
	EXPECT_EQ(3u, view(HOME).report.in_flight);
	report(HOME, 5, 50 * ms);
	EXPECT_EQ(5u, view(HOME).report.in_flight);
	EXPECT_EQ(50 * ms, view(HOME).report_age_us);
	EXPECT_EQ(UINT64_MAX, view(FAR).report_age_us);
	report(PLACES + 7, 1);
	report(HOME, 1, UINT64_MAX);
	EXPECT_EQ(5u, view(HOME).report.in_flight);
}

TEST_F(Steer, OwnRequestsInTheReportAreNotCountedTwice)
{
	only(HOME);
	report(HOME, 0);
	for (int i = 0; i < 8; i++)
		choose();
	now_us += 200 * ms;
	report(HOME, 8);
	for (uint32_t i = 0; i < 8; i++)
		EXPECT_EQ(STEER_HOME, choose().rule);
	EXPECT_EQ(STEER_LAST_RESORT, choose().rule);
}

/*
 * A place's reporter hangs and keeps sending new reports of an idle place. By
 * these alone, the place would get every request until callers time out.
 */
TEST_F(Steer, OwnRequestsInFlightOverrideAWrongReport)
{
	uint32_t sent = 0;

	run(400, 10 * ms, { 0, full, full },
	    [&](auto &choice) { sent += choice.rule == STEER_HOME; });
	EXPECT_EQ(slots, sent);
}

/*
 * A place reports that it is idle but refuses every request. Unless the
 * refusals are taken into account, each request costs a hop just to be refused.
 */
TEST_F(Steer, RefusalsCloseAPlaceUntilRetryAfterAndThrottleIt)
{
	const struct {
		enum result result;
		uint64_t retry_after_us;
		uint32_t least, most;
	} cases[] = {
		{ RESULT_OVERLOAD, 4 * second, 9, 12 },
		{ RESULT_OVERLOAD, 20 * ms, 5, 200 },
		{ RESULT_BACKEND_SHED, 0, 5, 200 },
		{ RESULT_DEADLINE_TOO_SHORT, 0, 5, 200 },
	};

	for (const auto &c : cases) {
		now_us += 60 * second;
		uint32_t hops =
			run(10000, ms, { 0, full, full }, [&](auto &choice) {
				learn(choice, c.result, ms, c.retry_after_us);
			});

		EXPECT_GE(hops, c.least) << c.retry_after_us;
		EXPECT_LE(hops, c.most) << c.retry_after_us;
	}
}

/*
 * A place reports 16 slots and has two. By the report alone, many requests
 * would be sent there and refused.
 */
TEST_F(Steer, WindowAdaptsToThePlacesRealCapacity)
{
	std::deque<std::pair<uint64_t, struct steer_choice>> running;
	uint32_t sent = 0;
	uint32_t refused = 0;

	only(HOME);
	for (int i = 0; i < 20000; i++) {
		for (; !running.empty() && running.front().first <= now_us;
		     running.pop_front())
			answer(running.front().second);
		sent += run(1, ms, { 0 }, [&](auto &choice) {
			if (running.size() < 2)
				return running.push_back(
					{ now_us + service_us, choice });
			learn(choice, RESULT_OVERLOAD, ms);
			refused++;
		});
	}
	EXPECT_GE(sent - refused, 1500u);
	EXPECT_LE(refused, sent / 4);
}

/*
 * Reports of a place stop: it is cut off or down, or only its reporter is. By
 * the last report alone, a growing load would still be sent to a place whose
 * state is unknown.
 */
TEST_F(Steer, RateToASilentPlaceDecaysToTheFloor)
{
	std::vector<uint32_t> per_second;
	only(FAR);
	for (int s = 0; s < 3; s++)
		per_second.push_back(run(50, 20 * ms, { 0, 0, 2 }));
	/* Four times the demand once the place is silent */
	for (int s = 3; s < 20; s++)
		per_second.push_back(run(200, 5 * ms, {}));
	EXPECT_EQ(50u, per_second[2]);
	for (int s = 6; s < 20; s++)
		EXPECT_LE(per_second[s], per_second[4]) << s;
	EXPECT_LE(per_second[19], STEER_SILENT_FLOOR_PER_S + 1u);
	EXPECT_GE(per_second[19], STEER_SILENT_FLOOR_PER_S - 1u);
	/* All entry nodes get its next report at once, hence slow start. */
	report(FAR, 0);
	EXPECT_EQ(1u, choose_all().size());
}

TEST_F(Steer, FewLostReportsCauseNoSlowStart)
{
	only(HOME);
	run(100, ms, { 0 });
	now_us += STEER_SLOW_START_AFTER_US - 500 * ms;
	report(HOME, 0);
	for (uint32_t i = 0; i < slots; i++)
		EXPECT_EQ(STEER_HOME, choose().rule) << i;
}

/*
 * A place fails, recovers and fails again, over and over. If it got the full
 * load at once after each recovery, each failure would cost as many failed
 * requests as the first.
 */
TEST_F(Steer, FlappingPlaceIsLeftFastAndGetsSlowStart)
{
	only(HOME);
	for (int flap = 0; flap < 6; flap++) {
		uint32_t failed = run(1000, ms, { 0 }, [&](auto &choice) {
			learn(choice, RESULT_OUTCOME_UNKNOWN, ms);
		});

		EXPECT_LE(failed, flap ? 3u : 6u);
		EXPECT_TRUE(view(HOME).failing);
		for (int i = 0; i < 100 && view(HOME).failing; i++)
			run(1, 100 * ms, { 0 });
		EXPECT_FALSE(view(HOME).failing);
	}
}

TEST_F(Steer, SlowStartAllowsOneTwoFourRequestsInFlight)
{
	only(HOME);
	fail_home();
	EXPECT_EQ(STEER_REFUSED, choose().rule);
	now_us += STEER_TRIAL_MIN_US;
	report(HOME, 0);
	answer(choose());
	for (uint32_t step = 0; step < 4; step++) {
		report(HOME, 0);
		std::vector<struct steer_choice> sent = choose_all();

		EXPECT_EQ(1u << step, sent.size());
		for (const struct steer_choice &choice : sent)
			answer(choice);
		now_us += STEER_SLOW_START_STEP_US;
	}
}

TEST_F(Steer, OnlySomeResultsMakeAPlaceFailing)
{
	const struct {
		const char *what;
		enum result first, second;
		uint64_t latency_us;
		bool failing;
	} cases[] = {
		{ "every second request fails", RESULT_CONNECT_FAILED,
		  RESULT_OK, ms, true },
		{ "short deadlines", RESULT_TIMED_OUT, RESULT_TIMED_OUT,
		  service_us, false },
		{ "time-outs after a long time", RESULT_TIMED_OUT,
		  RESULT_TIMED_OUT, second, true },
		{ "errors of the callers", RESULT_BAD_REQUEST,
		  RESULT_TICKET_ELSEWHERE, ms, false },
	};

	only(HOME);
	for (const auto &c : cases) {
		int number = 0;

		now_us += 60 * second;
		run(100, ms, { 0 });
		run(40, ms, { 0 }, [&](auto &choice) {
			learn(choice, number++ % 2 ? c.second : c.first,
			      c.latency_us);
		});
		EXPECT_EQ(c.failing, view(HOME).failing) << c.what;
		run(2000, 10 * ms, { 0 });
		EXPECT_FALSE(view(HOME).failing) << c.what;
	}
}

TEST_F(Steer, AnswerToAnOlderRequestDoesNotEndAFailure)
{
	only(HOME);
	report(HOME, 0);
	struct steer_choice early = choose();

	fail_home();
	answer(early);
	EXPECT_TRUE(view(HOME).failing);
}

/*
 * A non-idempotent request that is sent to a place that just failed may end
 * with an unknown outcome, so it isn't used to test whether the place has
 * recovered.
 */
TEST_F(Steer, NonIdempotentRequestsAreNoTrialsBeforeANewReport)
{
	only(HOME);
	fail_home();
	now_us += STEER_TRIAL_MAX_US;
	EXPECT_EQ(STEER_REFUSED, choose({}, SERVICE_NON_IDEMPOTENT).rule);
	report(HOME, 0);
	EXPECT_EQ(HOME, choose({}, SERVICE_NON_IDEMPOTENT).place);
}

/*
 * A whole region goes down while the near places are full: a few requests fail
 * until steering stops sending them there, then only trials do.
 */
TEST_F(Steer, RegionThatIsDownGetsTrialsOnly)
{
	report(FAR, 0);
	EXPECT_LE(run(30000, ms, { full, full },
		      [&](auto &choice) {
			      ASSERT_EQ(FAR, choice.place);
			      learn(choice, RESULT_CONNECT_FAILED, 110 * ms);
		      }),
		  12u);
}

TEST_F(Steer, SlowHomeIsAvoidedAndTriedAgainLater)
{
	uint32_t home = 0;

	run(100, ms, { 0, 0, 0 });
	run(1000, ms, { 0, 0, 0 }, [&](auto &choice) {
		learn(choice, RESULT_OK,
		      choice.place == HOME ? 900 * ms : 11 * ms);
		home += choice.place == HOME;
	});
	EXPECT_LE(home, 5u);
	now_us += 20 * second;
	report_all(0, 0, 0);
	EXPECT_EQ(HOME, choose().place);
}

TEST_F(Steer, RequestsOverALinkStayWithinItsLimit)
{
	const struct {
		uint32_t near_link, far_link, limits;
	} cases[] = { { 0, 0, 2 }, { 1, 2, 2 }, { 1, 1, 1 } };

	for (const auto &c : cases) {
		specs[NEAR].link = c.near_link;
		specs[FAR].link = c.far_link;
		specs[NEAR].link_limit_per_s = 40;
		specs[FAR].link_limit_per_s = 40;
		configure();
		uint32_t sent = run(10000, ms, { full, 0, 0 });

		EXPECT_GE(sent, c.limits * 390u) << c.far_link;
		EXPECT_LE(sent, c.limits * 410u) << c.far_link;
	}
}

/*
 * A place is inserted into the configuration before one that fails, which
 * changes the failing one's index. Its learned state must follow it, or
 * requests go there as if it were new. Feedback for requests in flight names
 * the old index: if they stayed counted, the place would look full for ever.
 */
TEST_F(Steer, LearnedStateFollowsTheNameWhenIndicesChange)
{
	report_all(0, full, full);
	for (uint32_t i = 0; i < slots; i++)
		choose();
	fail_home();
	ASSERT_TRUE(view(HOME).failing);
	std::swap(specs[HOME].name, specs[NEAR].name);
	configure();
	EXPECT_FALSE(view(HOME).failing);
	EXPECT_TRUE(view(NEAR).failing);
	std::swap(specs[HOME].name, specs[NEAR].name);
	configure();
	now_us += 20 * second;
	run(2000, 10 * ms, { 0, full, full });
	for (uint32_t i = 0; i < slots; i++)
		EXPECT_EQ(STEER_HOME, choose().rule) << i;
}

/*
 * Entry nodes get the same reports at the same moment and act on them until the
 * next ones. If all of them chose the one best place, it would get many times
 * its headroom while the others are idle.
 */
TEST(SteerHerd, NodesWithTheSameReportsSpreadByHeadroom)
{
	const uint32_t node_count = 10;
	const uint32_t free_slots[] = { 0, 40, 20, 20 };
	std::vector<struct steer *> nodes;
	std::vector<uint32_t> asked(4);
	uint64_t now_us = 100 * second;
	uint32_t draw = 7;

	for (uint32_t n = 0; n < node_count; n++) {
		struct steer *steer = steer_new();
		struct steer_place_spec specs[4];

		for (uint32_t i = 0; i < 4; i++)
			specs[i] = {
				nullptr, i, i ? 500u : 0u, 0, 48, false, 0
			};
		steer_set_places(steer, specs, 4, now_us);
		for (uint32_t i = 0; i < 4; i++) {
			struct gate_summary summary = { 48, 48 - free_slots[i],
							i ? 0 : full,
							service_us, 0 };

			steer_report(steer, i, &summary, 0, now_us);
		}
		nodes.push_back(steer);
	}
	/* As many requests as there is headroom, spread over the nodes */
	for (int i = 0; i < 80; i++) {
		struct steer_request request = {};
		struct steer_choice choice;

		now_us += 5 * ms;
		request.deadline_us = now_us + second;
		request.draw = draw = draw * 1664525u + 1013904223u;
		steer_choose(nodes[i % node_count], &request, now_us, &choice);
		ASSERT_NE(CONFIG_NONE, choice.place);
		asked[choice.place]++;
	}
	for (uint32_t i = 0; i < 4; i++)
		EXPECT_LE(asked[i], free_slots[i] * 3 / 2) << i;
	for (struct steer *steer : nodes)
		steer_free(steer);
}

TEST_F(Steer, ShiftStartsSmallAndGrowsToItsShare)
{
	std::vector<uint32_t> shifted;

	shift(500, 60000);
	for (int s = 0; s < 20; s++) {
		shifted.push_back(0);
		run(1000, ms, { 0, 0, 0 }, [&](auto &choice) {
			answer(choice);
			shifted[s] += choice.rule == STEER_SHIFT;
		});
	}
	EXPECT_LE(shifted[0], 45u);
	EXPECT_GE(shifted[0], 10u);
	for (int s = 1; s < 20; s++)
		EXPECT_LE(shifted[s], 2 * shifted[s - 1] + 20) << s;
	EXPECT_NEAR(500, shifted[19], 60);
	EXPECT_EQ(500u, share());
	/* After a refusal elsewhere a request isn't shifted but goes home. */
	for (int i = 0; i < 50; i++) {
		struct steer_choice choice = choose({ NEAR });

		EXPECT_EQ(HOME, choice.place);
		answer(choice);
	}
}

TEST_F(Steer, RampDoesNotGrowWithoutAnswersOrHeadroom)
{
	shift(500, 60000);
	run(20, second, { 0, 0, 0 }, [&](auto &choice) {
		learn(choice, choice.place == FAR ? RESULT_STOPPING : RESULT_OK,
		      service_us);
	});
	EXPECT_EQ(STEER_RAMP_START_PERMILLE, share());
	run(5000, 4 * ms, { 0, 0, 13 });
	EXPECT_EQ(STEER_RAMP_START_PERMILLE, share());
	run(5000, 4 * ms, { 0, 0, 8 });
	EXPECT_EQ(500u, share());
}

TEST_F(Steer, FarPlaceIsChosenWhenFasterThanASlowNearOne)
{
	report(HOME, full);
	report(NEAR, 0, 0, 200 * ms);
	report(FAR, 0);
	EXPECT_EQ(FAR, choose().place);
}

/*
 * A shift moves callers to a place whose caches are cold for them: their first
 * requests there are slow. If the share grew all the same, slow requests would
 * fill all slots and the place's own callers would have to wait.
 */
TEST_F(Steer, RampDoesNotGrowWhileCachesAreCold)
{
	uint32_t most_cold_share = 0;
	uint32_t shifted = 0;

	shift(800, 60000);
	run(60000, ms, { 0, 0, 0 }, [&](auto &choice) {
		bool cold = shifted < 400;

		if (choice.place != FAR)
			return answer(choice);
		shifted++;
		learn(choice, RESULT_OK, cold ? 2 * far_us : far_us);
		if (cold)
			most_cold_share = std::max(most_cold_share, share());
	});
	EXPECT_LE(most_cold_share, 30u);
	EXPECT_EQ(800u, share());
}

/*
 * As before, but shifted requests of other entry nodes slow down the place's
 * own callers, too. The service time in its reports rises then, and the ramp
 * must not take that for the base latency.
 */
TEST_F(Steer, RampDoesNotTakeASlowedPlacesLatencyAsBase)
{
	shift(800, 60000);
	for (int i = 0; i < 20000; i++) {
		report(FAR, 0, 0, i < 3000 ? service_us : 130 * ms);
		run(1, ms, { 0, 0 }, [&](auto &choice) {
			learn(choice, RESULT_OK,
			      choice.place == FAR ? 2 * far_us : service_us);
		});
	}
	EXPECT_LE(share(), 30u);
}

TEST_F(Steer, ShareIsCutAtOnce)
{
	const struct {
		const char *what;
		enum result result;
		uint64_t latency_us, silent_us;
		uint32_t most_share;
	} cases[] = {
		{ "slow", RESULT_OK, 400 * ms, 0, 200 },
		{ "overload", RESULT_OVERLOAD, ms, 0, 200 },
		{ "cap", RESULT_SHIFT_CAP, ms, 0, 560 },
		{ "down", RESULT_CONNECT_FAILED, ms, 0, 20 },
		{ "silent", RESULT_OK, far_us, 2 * STEER_REPORT_MAX_AGE_US,
		  20 },
	};

	for (const auto &c : cases) {
		now_us += 60 * second;
		shift(800, 60000);
		run(15000, ms, { 0, 0, 0 });
		ASSERT_EQ(800u, share()) << c.what;
		now_us += c.silent_us;
		if (c.silent_us) {
			EXPECT_LE(share(), c.most_share);
		}
		auto handler = [&](auto &choice) {
			if (choice.place == FAR)
				learn(choice, c.result, c.latency_us);
			else
				answer(choice);
		};
		run(20, 0, {}, handler);
		EXPECT_LE(share(), c.most_share) << c.what;
	}
}

/*
 * The requests of all entry nodes together exceed the cap, so the receiving
 * place refuses some. A refused request must be answered at home, and the entry
 * node must lower its share, or a hop is wasted on every second request.
 */
TEST_F(Steer, RequestRefusedByTheCapGoesHomeAndTheShareAdapts)
{
	const uint32_t cap_for_this_node = 100;
	std::deque<uint64_t> admitted;
	uint32_t refused = 0;
	uint32_t shifted = 0;
	auto handler = [&](auto &choice) {
		if (choice.place != FAR)
			return answer(choice);
		while (!admitted.empty() && admitted.front() + second < now_us)
			admitted.pop_front();
		if (admitted.size() < cap_for_this_node) {
			admitted.push_back(now_us);
			shifted++;
			return answer(choice);
		}
		refused++;
		learn(choice, RESULT_SHIFT_CAP, 110 * ms);
		struct steer_choice again = choose({ FAR });

		ASSERT_EQ(HOME, again.place);
		answer(again);
	};

	shift(900, 1000);
	run(60000, ms, { 0, 0, 0 }, handler);
	shifted = refused = 0;
	run(60000, ms, { 0, 0, 0 }, handler);
	EXPECT_GE(shifted, 60 * cap_for_this_node * 6 / 10);
	EXPECT_LE(refused, shifted / 100);
}

TEST_F(Steer, NothingIsShiftedBeforeTheCapsRetryAfter)
{
	shift(1000, 60000);
	report_all(0, 0, 0);
	struct steer_choice choice = choose();

	while (choice.place != FAR) {
		answer(choice);
		choice = choose();
	}
	learn(choice, RESULT_SHIFT_CAP, ms, second);
	run(990, ms, { 0, 0, 0 }, [&](auto &choice) {
		EXPECT_EQ(HOME, choice.place);
		answer(choice);
	});
}

TEST_F(Steer, OverflowToAShiftsPlaceCountsAgainstItsCap)
{
	shift(100, 20);
	uint32_t spilled = run(10000, ms, { full, full, 0 }, [&](auto &choice) {
		EXPECT_EQ(FAR, choice.place);
		EXPECT_EQ(0u, choice.shift);
		answer(choice);
	});

	EXPECT_GE(spilled, 190u);
	EXPECT_LE(spilled, 203u);
}
