/*
 * extra_budget - how many extra requests, beyond the first attempts, a service
 * may get
 *
 * In any window, all nodes together may send a service a given ratio of its
 * requests a second time, plus a fixed allowance. Each node keeps to the ratio
 * for its own requests and to its share of the allowance, so the sum holds
 * without any exchange between nodes. Not thread-safe. Times are those of the
 * clock port.
 */
#ifndef CORE_EXTRA_BUDGET_H
#define CORE_EXTRA_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Slices of a window, which moves on by a slice at a time. */
#define EXTRA_BUDGET_SLICES 10

struct extra_budget_rule {
	double ratio; /* extra requests for each first attempt */
	double allowance; /* extra requests per window, of all nodes together */
	uint64_t window_us;
};

struct extra_budget {
	uint32_t first[EXTRA_BUDGET_SLICES + 1];
	uint32_t extra[EXTRA_BUDGET_SLICES + 1];
	uint64_t slice; /* number of the newest slice, from the clock's 0 */
};

/* Records the first attempt of a request. */
void extra_budget_record_first(struct extra_budget *budget,
			       const struct extra_budget_rule *rule,
			       uint64_t now_us);

/*
 * Takes one extra request; false if the window has none left. nodes is the
 * number of nodes that share the allowance.
 */
bool extra_budget_take(struct extra_budget *budget,
		       const struct extra_budget_rule *rule, uint32_t nodes,
		       uint64_t now_us);

/* Extra requests taken in the window before the last recorded request. */
uint32_t extra_budget_taken(const struct extra_budget *budget);

#ifdef __cplusplus
}
#endif

#endif
