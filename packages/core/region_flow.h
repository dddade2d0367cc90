/*
 * region_flow - how large a share of a region's requests leaves it
 *
 * A share that jumps lands on backend servers that are cold for those objects
 * and empties the ones that were warm. The share therefore follows what the
 * choices prefer by bounded steps. Not thread-safe.
 */
#ifndef CORE_REGION_FLOW_H
#define CORE_REGION_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

struct region_flow {
	double share; /* granted, 0 to 1 */
	double wanted; /* share of choices that preferred to leave, smoothed */
	double credit; /* requests that may leave now */
	uint64_t moved_us; /* when share last moved */
};

/*
 * Whether the next request leaves its region. free: no step is imposed, because
 * something failed here and the rest has to go elsewhere at once.
 */
bool region_flow_leave(struct region_flow *flow, bool prefers_to_leave,
		       bool free, uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
