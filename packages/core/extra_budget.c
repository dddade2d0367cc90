#include "core/extra_budget.h"

#include <string.h>

/*
 * Part of the bound that is used, as a guard against requests that were counted
 * here in one window and arrive at the backend server in the next.
 */
#define USED_PART 0.7

#define SLOTS (EXTRA_BUDGET_SLICES + 1)

static void advance(struct extra_budget *budget,
		    const struct extra_budget_rule *rule, uint64_t now_us)
{
	uint64_t slice = now_us / (rule->window_us / EXTRA_BUDGET_SLICES);

	if (slice > budget->slice + SLOTS)
		budget->slice = slice - SLOTS;
	while (budget->slice < slice) {
		budget->slice++;
		budget->first[budget->slice % SLOTS] = 0;
		budget->extra[budget->slice % SLOTS] = 0;
	}
}

static uint32_t sum(const uint32_t *slots)
{
	uint32_t total = 0;
	uint32_t i;

	for (i = 0; i < SLOTS; i++)
		total += slots[i];
	return total;
}

void extra_budget_first(struct extra_budget *budget,
			const struct extra_budget_rule *rule, uint64_t now_us)
{
	advance(budget, rule, now_us);
	budget->first[budget->slice % SLOTS]++;
}

bool extra_budget_take(struct extra_budget *budget,
		       const struct extra_budget_rule *rule, uint32_t nodes,
		       uint64_t now_us)
{
	double most;

	advance(budget, rule, now_us);
	most = USED_PART * (rule->ratio * sum(budget->first) +
			    rule->allowance / (nodes ? nodes : 1));
	if (sum(budget->extra) + 1 > most)
		return false;
	budget->extra[budget->slice % SLOTS]++;
	return true;
}

uint32_t extra_budget_taken(const struct extra_budget *budget)
{
	return sum(budget->extra);
}
