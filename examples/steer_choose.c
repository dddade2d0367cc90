/*
 * steer_choose - choose a place for a request, first at home, then elsewhere
 *
 * Two places 55 ms apart report their load; home is full at the second choice.
 */
#include <inttypes.h>
#include <stdio.h>

#include "core/steer.h"

#define MS UINT64_C(1000)

enum { CENTRAL, SUR };

static const struct steer_place_spec specs[] = {
	{ .name = "central-1", .place = CENTRAL, .slots = 84 },
	{ .name = "sur-1", .place = SUR, .slots = 84, .one_way_us = 55 * MS },
};

static void report(struct steer *steer, uint32_t place, uint32_t in_flight,
		   uint64_t wait_us, uint64_t now_us)
{
	struct gate_summary summary = { 84, in_flight, 0, 20 * MS, wait_us };

	steer_report(steer, place, &summary, 0, now_us);
}

static void choose(struct steer *steer, uint64_t now_us)
{
	struct steer_request request = { .class_of = SERVICE_INTERACTIVE,
					 .home = CENTRAL,
					 .deadline_us = now_us + 2000 * MS };
	struct steer_choice choice;
	struct steer_feedback feedback;

	steer_choose(steer, &request, now_us, &choice);
	printf("%s by rule %s, expected %" PRIu64 " ms\n",
	       specs[choice.place].name, steer_rule_name(choice.rule),
	       choice.expected_us / MS);

	/* The outcome influences later choices. */
	feedback = (struct steer_feedback){ choice.place, choice.shift,
					    RESULT_OK, choice.expected_us, 0 };
	steer_record(steer, &feedback, now_us + choice.expected_us);
}

int main(void)
{
	struct steer *steer = steer_new();

	steer_set_places(steer, specs, 2, 1 * MS);
	report(steer, CENTRAL, 10, 0, 2 * MS);
	report(steer, SUR, 10, 0, 2 * MS);
	choose(steer, 3 * MS);
	report(steer, CENTRAL, 84, 400 * MS, 100 * MS);
	choose(steer, 101 * MS);
	steer_free(steer);
	return 0;
}
