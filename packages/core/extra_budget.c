#include "core/extra_budget.h"

#include <string.h>

/*
 * Fraction of the limit that is used, as a margin for requests counted here in
 * one window that arrive at the backend server in the next.
 */
#define USED_FRACTION 0.7

#define STORED_SLICES (EXTRA_BUDGET_SLICES + 1)

static void advance(struct extra_budget *budget,
		    const struct extra_budget_rule *rule, uint64_t now_us)
{
	uint64_t slice = now_us / (rule->window_us / EXTRA_BUDGET_SLICES);

	if (slice > budget->slice + STORED_SLICES)
		budget->slice = slice - STORED_SLICES;
	while (budget->slice < slice) {
		budget->slice++;
		budget->first[budget->slice % STORED_SLICES] = 0;
		budget->extra[budget->slice % STORED_SLICES] = 0;
	}
}

static uint32_t sum(const uint32_t *slices)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < STORED_SLICES; i++)
		total += slices[i];
	return total;
}

void extra_budget_record_first(struct extra_budget *budget,
			       const struct extra_budget_rule *rule,
			       uint64_t now_us)
{
	advance(budget, rule, now_us);
	budget->first[budget->slice % STORED_SLICES]++;
}

bool extra_budget_take(struct extra_budget *budget,
		       const struct extra_budget_rule *rule, uint32_t nodes,
		       uint64_t now_us)
{
	double limit;

	advance(budget, rule, now_us);
	limit = USED_FRACTION * (rule->ratio * sum(budget->first) +
				 rule->allowance / (nodes ? nodes : 1));
	if (sum(budget->extra) + 1 > limit)
		return false;
	budget->extra[budget->slice % STORED_SLICES]++;
	return true;
}

uint32_t extra_budget_taken(const struct extra_budget *budget)
{
	return sum(budget->extra);
}
