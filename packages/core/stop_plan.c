#include "core/stop_plan.h"

#include <glib.h>

#include "core/duration.h"

/* Callers cache lookups for up to this many times the TTL they were given. */
#define LOOKUP_PERIODS 3

/* What is left of the stop's time when all requests have their answers. */
#define END_MARGIN_US (300 * US_PER_MS)

/* What is left of it at the exit. */
#define EXIT_MARGIN_US (100 * US_PER_MS)

/* A short stop has smaller margins. */
#define MARGIN_MAX_PART 4

static uint64_t margin_us(uint64_t wanted_us, uint64_t max_stop_us)
{
	return MIN(wanted_us, max_stop_us / MARGIN_MAX_PART);
}

void stop_plan_begin(struct stop_plan *plan, uint64_t signalled_us,
		     uint64_t lookup_keep_us, uint64_t max_stop_us)
{
	uint64_t accept_us =
		MIN(LOOKUP_PERIODS * lookup_keep_us, max_stop_us / 2);

	if (plan->begun)
		return;
	plan->begun = true;
	plan->began_us = signalled_us;
	plan->closes_us = signalled_us + accept_us;
	plan->ends_us = signalled_us + max_stop_us -
			margin_us(END_MARGIN_US, max_stop_us);
	plan->exits_us = signalled_us + max_stop_us -
			 margin_us(EXIT_MARGIN_US, max_stop_us);
}

bool stop_plan_allows(const struct stop_plan *plan, uint64_t due_us)
{
	return !plan->begun || due_us <= plan->ends_us;
}
