/*
 * occupancy - how much of a service's capacity is in use, by region
 *
 * Summed over its usable backend servers: those that aren't leaving, evacuated,
 * resting, backed off from or cold. Kept for OCCUPANCY_VALID_US, since choices
 * are made far more often than loads change. Not thread-safe.
 */
#ifndef CORE_OCCUPANCY_H
#define CORE_OCCUPANCY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "core/backend_table.h"
#include "core/duration.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Time until the sums are computed anew. */
#define OCCUPANCY_VALID_US (50 * US_PER_MS)

/* The usable servers of one region; all 0 if it has none now. */
struct occupancy_region {
	char *name;
	double slots;
	double load; /* requests there */
};

struct occupancy {
	double slots;
	double load;
	uint32_t servers;
	uint32_t reported; /* of these, with a recent load report */
	/*
	 * Short of capacity: load over 0.7 of the slots, with reports of at
	 * least half of the servers; until it has stayed below 0.6 for a
	 * second.
	 */
	bool is_short;
	uint64_t high_us; /* when it was last not below 0.6 */
	uint64_t updated_us; /* 0: never */
	GArray *regions; /* struct occupancy_region */
};

struct occupancy *occupancy_new(void);
void occupancy_free(struct occupancy *occupancy);

/*
 * Computes the sums anew if they are too old; returns whether it did. Servers
 * without a report that counts are assumed to be loaded like the others.
 */
bool occupancy_update(struct occupancy *occupancy,
		      const struct backend_table *backends, const char *service,
		      uint64_t now_us);

/* Load as a fraction of the slots; 0 if there are none. */
double occupancy_used(const struct occupancy *occupancy);

#ifdef __cplusplus
}
#endif

#endif
