/*
 * extra_budget - how many requests beyond the first a service may get
 *
 * All nodes together may send a service a share of its requests a second time,
 * and a fixed allowance more, in any window. Each node keeps to the share of
 * its own requests and to its part of the allowance, so the sum holds without
 * any exchange between nodes. Not thread-safe. Times are those of the clock
 * port.
 */
#ifndef CORE_EXTRA_BUDGET_H
#define CORE_EXTRA_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Parts of a window, so that what left it is known to a tenth. */
#define EXTRA_BUDGET_SLICES 10

struct extra_budget_rule {
	double ratio; /* extra requests for each first one */
	double allowance; /* extra requests a window, of all nodes together */
	uint64_t window_us;
};

struct extra_budget {
	uint32_t first[EXTRA_BUDGET_SLICES + 1];
	uint32_t extra[EXTRA_BUDGET_SLICES + 1];
	uint64_t slice; /* number of the newest slice since the clock's 0 */
};

/* Account the first send of a request. */
void extra_budget_record_first(struct extra_budget *budget,
			       const struct extra_budget_rule *rule,
			       uint64_t now_us);

/*
 * Take one extra request; false where the window has no more. nodes is how many
 * share the allowance, at least 1.
 */
bool extra_budget_take(struct extra_budget *budget,
		       const struct extra_budget_rule *rule, uint32_t nodes,
		       uint64_t now_us);

/* Extra requests taken in the window that last had any request. */
uint32_t extra_budget_taken(const struct extra_budget *budget);

#ifdef __cplusplus
}
#endif

#endif
