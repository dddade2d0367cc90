/*
 * budget - how many extra attempts (retries, hedges, second places) may be made
 *
 * Each admitted request pays for a fraction of an extra attempt, so that
 * attempts can't multiply an overload. Not thread-safe: the owner's lock guards
 * it.
 */
#ifndef CORE_BUDGET_H
#define CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct budget {
	uint32_t share_permille; /* extra attempts per thousand requests */
	uint32_t max_milli; /* largest balance, in thousandths of an attempt */
	uint32_t balance_milli;
};

/* Starts with an empty balance, which holds at most burst attempts. */
void budget_init(struct budget *budget, uint32_t share_permille,
		 uint32_t burst);

/* Records one admitted request. */
void budget_earn(struct budget *budget);

/* Takes one extra attempt; false if the balance doesn't cover it. */
bool budget_spend(struct budget *budget);

#ifdef __cplusplus
}
#endif

#endif
