#include "core/budget.h"

#define MILLI_PER_ATTEMPT 1000u

void budget_init(struct budget *budget, uint32_t share_permille, uint32_t burst)
{
	budget->share_permille = share_permille;
	budget->max_milli = burst * MILLI_PER_ATTEMPT;
	budget->balance_milli = 0;
}

void budget_earn(struct budget *budget)
{
	uint64_t balance_milli = budget->balance_milli;

	balance_milli += budget->share_permille;
	if (balance_milli > budget->max_milli)
		balance_milli = budget->max_milli;
	budget->balance_milli = (uint32_t)balance_milli;
}

bool budget_spend(struct budget *budget)
{
	if (budget->balance_milli < MILLI_PER_ATTEMPT)
		return false;
	budget->balance_milli -= MILLI_PER_ATTEMPT;
	return true;
}
