#include "core/cold_plan.h"

#include <math.h>
#include <string.h>

/*
 * Longest wait at an object's first server, in warm service times, before the
 * next in order takes its place. Below that, nodes that estimate different
 * waits still take the same server.
 */
#define OWNER_WAIT_MAX 0.5

/*
 * Most that the first server may cost more than the cheapest one, in warm
 * service times: less than for a slow server, one that fails or one that runs a
 * request suspected of crashing it.
 */
#define OWNER_COST_MAX 1.5

bool cold_side_has(const struct cold_side *side,
		   const struct candidate *candidate)
{
	return candidate->near == side->near &&
	       (!side->region ||
		!strcmp(candidate->backend->region, side->region));
}

static bool may_own(const struct candidate *candidate, double lowest_cost_us,
		    const struct service_times *times)
{
	return !candidate->full && !candidate->warm &&
	       candidate->wait_us <= OWNER_WAIT_MAX * times->warm_us &&
	       candidate->cost_us <=
		       lowest_cost_us + OWNER_COST_MAX * times->warm_us;
}

/* The first in order that may be the object's first server. */
static const struct candidate *find_owner(const GArray *candidates,
					  const struct cold_side *side,
					  const struct service_times *times)
{
	double lowest_cost_us = INFINITY;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);

		if (!candidate->full && cold_side_has(side, candidate))
			lowest_cost_us =
				fmin(lowest_cost_us, candidate->cost_us);
	}
	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);

		if (cold_side_has(side, candidate) &&
		    may_own(candidate, lowest_cost_us, times))
			return candidate;
	}
	return NULL;
}

static void note(struct cold_plan *plan, const struct candidate *candidate)
{
	plan->has_warming |= candidate->hold_us > 0;
	plan->has_warm |= candidate->warm;
	if (!candidate->warm || candidate->full)
		return;
	plan->warm_expected_us =
		fmin(plan->warm_expected_us, candidate->expected_us);
	plan->warm_wait_us = fmin(plan->warm_wait_us, candidate->wait_us);
}

struct cold_plan cold_plan_make(const GArray *candidates,
				const struct cold_side *side,
				const struct choose_query *query,
				const struct service_times *times)
{
	uint64_t target_us = query->route->target_us;
	struct cold_plan plan = {
		.extra_us = times->cold_us - times->warm_us,
		.objective_us =
			(double)(target_us - MIN(query->spent_us, target_us)),
		.warm_expected_us = INFINITY,
		.warm_wait_us = INFINITY,
	};
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);

		if (cold_side_has(side, candidate))
			note(&plan, candidate);
	}
	if (!plan.has_warm && !plan.has_warming)
		plan.owner = find_owner(candidates, side, times);
	return plan;
}

bool cold_plan_allows(const struct cold_plan *plan,
		      const struct candidate *candidate)
{
	if (plan->has_warming)
		return false;
	if (!plan->has_warm)
		return !plan->owner || candidate == plan->owner;
	/* Its warm servers take no more: a free slot keeps nobody waiting. */
	if (isinf(plan->warm_expected_us))
		return candidate->wait_us <= 0;
	return plan->warm_expected_us > plan->objective_us &&
	       plan->warm_expected_us > candidate->expected_us &&
	       plan->warm_wait_us > plan->extra_us;
}
