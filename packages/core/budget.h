/*
 * budget - how many extra attempts (retries, hedges, second places) may be made
 *
 * A share of the requests admitted pays for extra attempts, so that attempts
 * can't multiply an overload. Not thread-safe: the owner's lock guards it.
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
	uint32_t max_milli; /* balance at most; in thousandths of an attempt */
	uint32_t balance_milli;
};

/* Start with an empty balance; burst is the most attempts ever saved up. */
void budget_init(struct budget *budget, uint32_t share_permille,
		 uint32_t burst);

/* Account one admitted request. */
void budget_earn(struct budget *budget);

/* Take one extra attempt; false where the balance doesn't cover it. */
bool budget_spend(struct budget *budget);

#ifdef __cplusplus
}
#endif

#endif
