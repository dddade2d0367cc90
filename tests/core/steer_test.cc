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
