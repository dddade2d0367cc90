/*
 * region_plan - which regions should serve a region's requests
 *
 * Each region is to be used as much as the whole fleet: it keeps what its slots
 * can run at the mean utilization, and the rest goes to the regions that have
 * more slots than demand, in proportion to what they have left. Computed by
 * each node alone from sums that all nodes know. Not thread-safe.
 */
#ifndef CORE_REGION_PLAN_H
#define CORE_REGION_PLAN_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* What is known of a region. */
struct region_need {
	const char *name;
	double slots; /* usable */
	double demand; /* requests per second, or any other common unit */
};

/* Another region's part of the requests that leave this one. */
struct region_part {
	char *name;
	uint32_t hash; /* of the name */
	double wanted; /* of those; the parts of all regions sum up to 1 */
	double share; /* of all this region's requests, in effect */
	bool listed; /* among the needs of the last update */
};

struct region_plan {
	bool known; /* false: nothing is known yet, or no slot is usable */
	double wanted; /* share of this region's requests that should leave */
	double share; /* the same, in effect; the sum of its parts' */
	GArray *parts; /* struct region_part */
	uint64_t updated_us;
};

struct region_plan *region_plan_new(void);
void region_plan_free(struct region_plan *plan);

/*
 * Computes the plan of the region named own from the needs of all regions, an
 * array of struct region_need. max_moved is the largest share of the region's
 * requests that may change the region that serves them by this; regions that
 * have no usable slots get none at once.
 */
void region_plan_update(struct region_plan *plan, const char *own,
			const GArray *needs, double max_moved, uint64_t now_us);

/*
 * After servers were lost: the share that leaves is taken at once if it has
 * grown, since lost servers can't keep requests until they move in steps.
 */
void region_plan_leave_lost(struct region_plan *plan);

/*
 * Where the object's requests go if they leave; all nodes with the same parts
 * agree, and few objects move as parts change. NULL: to any region.
 */
const char *region_plan_destination(const struct region_plan *plan,
				    uint32_t object);

#ifdef __cplusplus
}
#endif

#endif
