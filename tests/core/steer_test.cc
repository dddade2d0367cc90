#include "core/steer.h"
#include "core/steer_place.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <vector>

static const uint64_t ms = 1000;
static const uint64_t second = 1000 * ms;

enum { HOME, NEAR, FAR, PLACES };

static const char *const names[PLACES] = { "home", "near", "far" };
static const uint64_t one_way_us[PLACES] = { 0, 500, 55 * ms };
static const uint32_t slots = 16;
static const uint64_t service_us = 10 * ms;

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
			specs[i] = {
				names[i], i, one_way_us[i], 0, slots, false
			};
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

	void shift(uint32_t share_permille, uint32_t cap_per_s)
	{
		struct steer_shift_spec spec = { "s", HOME, FAR, share_permille,
						 cap_per_s };

		steer_set_shifts(steer, &spec, 1, now_us);
	}

	void report(uint32_t place, uint32_t in_flight, uint64_t age_us = 0,
		    uint32_t of = slots)
	{
		struct gate_summary summary = { of, in_flight, 0, service_us,
						0 };

		if (in_flight > of)
			summary.waiting = in_flight - of;
		summary.in_flight -= summary.waiting;
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

		steer_learn(steer, &feedback, now_us);
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

TEST_F(Steer, HomeThenLeastTimeThenQueueThenRefusal)
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
		{ "only far has headroom, the queue at home is shorter", 18, 18,
		  0, STEER_LEAST_TIME, HOME, RESULT_OK },
		{ "only far has headroom, long queue", 400, 400, 0,
		  STEER_LEAST_TIME, FAR, RESULT_OK },
		{ "queues everywhere", 64, 400, 400, STEER_LAST_RESORT, HOME,
		  RESULT_OK },
		{ "all full", 4000, 4000, 4000, STEER_REFUSED, CONFIG_NONE,
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
		EXPECT_EQ(c.rule == STEER_REFUSED, choice.retry_after_us > 0)
			<< c.what;
		learn(choice, RESULT_OK, choice.expected_us);
	}
}

TEST_F(Steer, TriedDrainedAndTooFarPlacesGetNothing)
{
	const struct {
		const char *what;
		std::vector<uint32_t> tried;
		std::vector<uint32_t> drained;
		uint64_t time_us;
		uint32_t place;
		enum result refusal;
	} cases[] = {
		{ "home tried", { HOME }, {}, second, NEAR, RESULT_OK },
		{ "home drained", {}, { HOME }, second, NEAR, RESULT_OK },
		{ "both near ones gone",
		  { NEAR },
		  { HOME },
		  second,
		  FAR,
		  RESULT_OK },
		{ "far is too far",
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

TEST_F(Steer, BackgroundLeavesAReserveAndOthersDoNot)
{
	report_all(15, 4000, 4000);
	struct steer_choice interactive = choose();
	struct steer_choice background = choose({}, SERVICE_BACKGROUND);

	EXPECT_EQ(STEER_HOME, interactive.rule);
	EXPECT_NE(STEER_HOME, background.rule);
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

/*
 * A place's reporter is stuck and says "idle" for ever, with the age of today.
 * Believed, it would get every request until callers time out.
 */
TEST_F(Steer, OwnRequestsInFlightOutweighALyingReport)
{
	uint32_t sent = 0;

	for (int i = 0; i < 400; i++) {
		now_us += 10 * ms;
		report_all(0, 4000, 4000);
		sent += choose().rule == STEER_HOME;
	}
	EXPECT_EQ(slots, sent);
}

/*
 * A place claims to be idle and refuses what it is sent. Without learning from
 * it each caller would pay a hop to hear "no".
 */
TEST_F(Steer, RefusalsCloseAPlaceUntilItsTimeAndThrottleItBeyond)
{
	const struct {
		uint64_t retry_after_us;
		uint32_t most;
	} cases[] = { { second, 22 }, { 20 * ms, 600 }, { 0, 400 } };

	for (const auto &c : cases) {
		uint32_t hops = 0;

		now_us += 60 * second;
		for (int i = 0; i < 10000; i++) {
			now_us += 1 * ms;
			report_all(0, 4000, 4000);
			struct steer_choice choice = choose();

			if (choice.rule == STEER_REFUSED) {
				EXPECT_EQ(RESULT_OVERLOAD, choice.refusal);
				EXPECT_GE(choice.retry_after_us, 20 * ms);
				continue;
			}
			hops++;
			learn(choice, RESULT_OVERLOAD, 1 * ms,
			      c.retry_after_us);
		}
		EXPECT_LE(hops, c.most) << c.retry_after_us;
		EXPECT_GE(hops, 5u) << c.retry_after_us;
	}
}

/*
 * Reports of a place stop: it is cut off, dead, or only its reporter is.
 * Steering on the last word would send more and more to a place that nobody
 * sees.
 */
TEST_F(Steer, SilentPlaceGainsNothingAndDecaysToTheFloor)
{
	std::vector<uint32_t> per_second;

	specs[HOME].drained = true;
	specs[NEAR].drained = true;
	configure();
	for (int s = 0; s < 20; s++) {
		uint32_t sent = 0;

		/* Demand is four times as high once the place is silent. */
		for (int i = 0; i < (s < 3 ? 50 : 200); i++) {
			now_us += second / (s < 3 ? 50 : 200);
			if (s < 3)
				report(FAR, 2);
			struct steer_choice choice = choose();

			sent += choice.rule != STEER_REFUSED;
			learn(choice, RESULT_OK, 120 * ms);
		}
		per_second.push_back(sent);
	}
	EXPECT_EQ(50u, per_second[2]);
	/* Two seconds of freshness, then the rate it had, then decay. */
	for (int s = 6; s < 20; s++)
		EXPECT_LE(per_second[s], per_second[4]) << s;
	EXPECT_LE(per_second[19], STEER_SILENT_FLOOR_PER_S + 1u);
	EXPECT_GE(per_second[19], STEER_SILENT_FLOOR_PER_S - 1u);
}

/*
 * A place fails, comes back and fails again, over and over. Each return that
 * took the full load at once would cost as many failed requests as the first.
 */
TEST_F(Steer, FlappingPlaceLeavesFastAndReturnsInSteps)
{
	const enum result failures[] = { RESULT_CONNECT_FAILED,
					 RESULT_OUTCOME_UNKNOWN };
	std::vector<uint32_t> failed_per_flap;

	specs[NEAR].drained = true;
	specs[FAR].drained = true;
	configure();
	for (int flap = 0; flap < 6; flap++) {
		uint32_t failed = 0;

		for (int i = 0; i < 1000; i++) {
			now_us += 1 * ms;
			report(HOME, 0);
			struct steer_choice choice = choose();

			if (choice.rule == STEER_REFUSED)
				continue;
			learn(choice, failures[i % 2], 1 * ms);
			failed++;
		}
		EXPECT_TRUE(view(HOME).failing);
		failed_per_flap.push_back(failed);
		for (int i = 0; i < 100 && view(HOME).failing; i++) {
			now_us += 100 * ms;
			report(HOME, 0);
			struct steer_choice choice = choose();

			if (choice.rule != STEER_REFUSED)
				learn(choice, RESULT_OK, service_us);
		}
		EXPECT_FALSE(view(HOME).failing);
	}
	EXPECT_LE(failed_per_flap[0], 6u);
	for (int flap = 1; flap < 6; flap++)
		EXPECT_LE(failed_per_flap[flap], 3u) << flap;
}

TEST_F(Steer, ReturnTakesOneTwoFourRequestsAtATime)
{
	specs[NEAR].drained = true;
	specs[FAR].drained = true;
	configure();
	report(HOME, 0);
	for (int i = 0; i < 3; i++)
		learn(choose(), RESULT_CONNECT_FAILED, 0);
	EXPECT_EQ(STEER_REFUSED, choose().rule);
	now_us += STEER_TRIAL_FIRST_US;
	report(HOME, 0);
	learn(choose(), RESULT_OK, service_us);
	for (uint32_t step = 0; step < 4; step++) {
		std::vector<struct steer_choice> sent;

		report(HOME, 0);
		for (;;) {
			struct steer_choice choice = choose();

			if (choice.rule == STEER_REFUSED)
				break;
			sent.push_back(choice);
		}
		EXPECT_EQ(1u << step, sent.size());
		for (const struct steer_choice &choice : sent)
			learn(choice, RESULT_OK, service_us);
		now_us += STEER_STEP_US;
	}
}

/*
 * A certificate tried on a place that just failed may end with an unknown
 * outcome. It isn't the one to find out whether the place is back.
 */
TEST_F(Steer, NonIdempotentRequestsAreNoTrialsOfAPlaceUnheardOf)
{
	specs[NEAR].drained = true;
	specs[FAR].drained = true;
	configure();
	report(HOME, 0);
	for (int i = 0; i < 3; i++)
		learn(choose(), RESULT_TIMED_OUT, second);
	now_us += STEER_TRIAL_MOST_US;
	EXPECT_EQ(STEER_REFUSED, choose({}, SERVICE_NON_IDEMPOTENT).rule);
	report(HOME, 0);
	EXPECT_EQ(HOME, choose({}, SERVICE_NON_IDEMPOTENT).place);
}

/*
 * A whole region dies while another is full: callers see one failure each
 * until steering stops sending them there, and a trial now and then after.
 */
TEST_F(Steer, DeadRegionGetsTrialsOnly)
{
	uint32_t failed = 0;

	report_all(4000, 4000, 0);
	for (int i = 0; i < 30000; i++) {
		now_us += 1 * ms;
		report(HOME, 4000);
		report(NEAR, 4000);
		struct steer_choice choice = choose();

		if (choice.rule == STEER_REFUSED)
			continue;
		ASSERT_EQ(FAR, choice.place);
		learn(choice, RESULT_CONNECT_FAILED, 110 * ms);
		failed++;
	}
	EXPECT_LE(failed, 12u);
}

TEST_F(Steer, SlowHomeGivesWayAndIsTriedAgain)
{
	uint32_t home = 0;

	for (int i = 0; i < 100; i++) {
		now_us += 1 * ms;
		report_all(0, 0, 0);
		learn(choose(), RESULT_OK, service_us);
	}
	for (int i = 0; i < 1000; i++) {
		now_us += 1 * ms;
		report_all(0, 0, 0);
		struct steer_choice choice = choose();

		learn(choice, RESULT_OK,
		      choice.place == HOME ? 900 * ms : 11 * ms);
		home += choice.place == HOME;
	}
	EXPECT_LE(home, 5u);
	now_us += 20 * second;
	report_all(0, 0, 0);
	EXPECT_EQ(HOME, choose().place);
}

TEST_F(Steer, LinkCarriesNoMoreThanItsLimit)
{
	uint32_t sent = 0;

	specs[FAR].link_limit_per_s = 40;
	configure();
	for (int i = 0; i < 10000; i++) {
		now_us += 1 * ms;
		report_all(4000, 4000, 0);
		struct steer_choice choice = choose();

		if (choice.rule == STEER_REFUSED) {
			EXPECT_EQ(RESULT_OVERLOAD, choice.refusal);
			continue;
		}
		learn(choice, RESULT_OK, 120 * ms);
		sent++;
	}
	EXPECT_GE(sent, 390u);
	EXPECT_LE(sent, 410u);
}

/*
 * A place is inserted into the configuration before one that fails. What was
 * learned must stay with the place it was learned of, or callers go to the
 * failing one as if it were new.
 */
TEST_F(Steer, LearnedStaysWithTheNameWhenIndicesMove)
{
	report_all(0, 0, 0);
	for (int i = 0; i < 3; i++)
		learn(choose(), RESULT_CONNECT_FAILED, 0);
	EXPECT_TRUE(view(HOME).failing);
	std::swap(specs[HOME].name, specs[NEAR].name);
	configure();
	EXPECT_FALSE(view(HOME).failing);
	EXPECT_TRUE(view(NEAR).failing);
}

/*
 * Entry nodes get the same reports at the same moment and steer by them until
 * the next ones. Were each to fill the one best place, it would be asked for
 * many times its headroom while the others idle.
 */
TEST(SteerHerd, NodesWithOneStaleViewSpreadByHeadroom)
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
			specs[i] = { nullptr, i, i ? 500u : 0u, 0, 48, false };
		steer_set_places(steer, specs, 4, now_us);
		for (uint32_t i = 0; i < 4; i++) {
			struct gate_summary summary = { 48, 48 - free_slots[i],
							i ? 0u : 4000u,
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
		uint32_t count = 0;

		for (int i = 0; i < 1000; i++) {
			now_us += 1 * ms;
			report_all(0, 0, 0);
			struct steer_choice choice = choose();

			learn(choice, RESULT_OK,
			      choice.place == FAR ? 120 * ms : 10 * ms);
			count += choice.rule == STEER_SHIFT;
		}
		shifted.push_back(count);
	}
	EXPECT_LE(shifted[0], 45u);
	EXPECT_GE(shifted[0], 10u);
	for (int s = 1; s < 20; s++)
		EXPECT_LE(shifted[s], 2 * shifted[s - 1] + 20) << s;
	EXPECT_NEAR(500, shifted[19], 60);
	EXPECT_EQ(500u, steer_shift_share(steer, 0, now_us));
}

/*
 * A shift moves callers onto caches that don't know them: each new caller's
 * first request there is slow. Pushed on regardless, the slow ones fill all
 * slots and the place's own callers wait as well.
 */
TEST_F(Steer, RampWaitsForColdCaches)
{
	uint32_t most_share = 0;
	uint64_t warm = 0;

	shift(800, 60000);
	for (int i = 0; i < 3000; i++) {
		now_us += 1 * ms;
		report_all(0, 0, 0);
		struct steer_choice choice = choose();
		bool cold = choice.place == FAR && warm < 400;

		warm += choice.place == FAR;
		learn(choice, RESULT_OK,
		      choice.place == FAR ? (cold ? 240 * ms : 120 * ms) :
					    10 * ms);
		if (warm < 350)
			most_share =
				std::max(most_share,
					 steer_shift_share(steer, 0, now_us));
	}
	EXPECT_LE(most_share, 30u);
	for (int i = 0; i < 40000; i++) {
		now_us += 1 * ms;
		report_all(0, 0, 0);
		struct steer_choice choice = choose();

		warm += choice.place == FAR;
		learn(choice, RESULT_OK,
		      choice.place != FAR ? 10 * ms :
		      warm < 400	  ? 240 * ms :
					    120 * ms);
	}
	EXPECT_EQ(800u, steer_shift_share(steer, 0, now_us));
}

TEST_F(Steer, ShiftFallsBackAtOnce)
{
	const struct {
		const char *what;
		enum result result;
		uint64_t latency_us;
		uint64_t silent_us;
		uint32_t most_share;
	} cases[] = {
		{ "slow", RESULT_OK, 400 * ms, 0, 200 },
		{ "overload", RESULT_OVERLOAD, ms, 0, 200 },
		{ "cap", RESULT_SHIFT_CAP, ms, 0, 560 },
		{ "dead", RESULT_CONNECT_FAILED, ms, 0, 0 },
		{ "silent", RESULT_OK, 120 * ms, 2 * STEER_FRESH_US, 20 },
	};

	for (const auto &c : cases) {
		now_us += 60 * second;
		steer_set_shifts(steer, nullptr, 0, now_us);
		shift(800, 60000);
		for (int i = 0; i < 15000; i++) {
			now_us += 1 * ms;
			report_all(0, 0, 0);
			struct steer_choice choice = choose();

			learn(choice, RESULT_OK,
			      choice.place == FAR ? 120 * ms : 10 * ms);
		}
		ASSERT_EQ(800u, steer_shift_share(steer, 0, now_us)) << c.what;
		now_us += c.silent_us;
		if (!c.silent_us)
			report_all(0, 0, 0);
		for (int i = 0; i < 20; i++) {
			struct steer_choice choice = choose();

			if (choice.place == FAR)
				learn(choice, c.result, c.latency_us);
		}
		EXPECT_LE(steer_shift_share(steer, 0, now_us), c.most_share)
			<< c.what;
	}
}

/*
 * The cap is passed at the receiving place, whose gate counts all entry nodes'
 * requests; one is refused there. It must be answered at home, not lost, and
 * the entry node must ask for less, or a hop is wasted on every second request.
 */
TEST_F(Steer, CapRefusalGoesHomeAndTheShareSettlesUnderTheCap)
{
	const uint32_t cap_for_this_node = 100;
	std::deque<uint64_t> admitted;
	uint32_t refused = 0;
	uint32_t shifted = 0;

	shift(900, 1000);
	for (int i = 0; i < 120000; i++) {
		now_us += 1 * ms;
		report_all(0, 0, 0);
		struct steer_choice choice = choose();

		if (choice.place != FAR) {
			learn(choice, RESULT_OK, service_us);
			continue;
		}
		while (!admitted.empty() && admitted.front() + second < now_us)
			admitted.pop_front();
		if (admitted.size() < cap_for_this_node) {
			admitted.push_back(now_us);
			learn(choice, RESULT_OK, 120 * ms);
			shifted += i >= 60000;
			continue;
		}
		learn(choice, RESULT_SHIFT_CAP, 110 * ms);
		refused += i >= 60000;
		choice = choose({ FAR });
		ASSERT_EQ(HOME, choice.place);
		learn(choice, RESULT_OK, service_us);
	}
	EXPECT_GE(shifted, 60 * cap_for_this_node * 6 / 10);
	EXPECT_LE(refused, shifted / 20);
}

TEST_F(Steer, SpillToAShiftsPlaceCountsUnderItsCap)
{
	uint32_t spilled = 0;

	shift(100, 20);
	for (int i = 0; i < 10000; i++) {
		now_us += 1 * ms;
		report_all(4000, 4000, 0);
		struct steer_choice choice = choose();

		if (choice.place != FAR)
			continue;
		EXPECT_EQ(0u, choice.shift);
		learn(choice, RESULT_OK, 120 * ms);
		spilled++;
	}
	EXPECT_GE(spilled, 190u);
	EXPECT_LE(spilled, 203u);
}
