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
	/* What leaves beyond the share: some objects are asked for more. */
	double excess;
	double granted; /* share and excess, by bounded steps */
	double credit; /* requests that may leave now */
	uint64_t moved_us; /* when the shares last moved */
};

/* Begin with a share, by what is known before any request. */
void region_flow_init(struct region_flow *flow, double share);

/* The next request, as region_flow_leave() sees it. */
struct region_flow_request {
	bool prefers_to_leave; /* by what the choice expects there and here */
	bool has_object;
	uint32_t object; /* its hash */
	/* Something failed here: the rest has to go elsewhere at once. */
	bool free;
};

/*
 * Whether the next request leaves its region.
 *
 * The share is one of objects: those whose place in a fixed order lies below it
 * are served elsewhere, so that each object has its servers on one side. Were
 * it any share of the requests, both regions would warm servers for all
 * objects. An object may have so many of the requests that its move is a jump:
 * how many leave therefore follows what belongs elsewhere by bounded steps too.
 */
bool region_flow_leave(struct region_flow *flow,
		       const struct region_flow_request *request,
		       uint64_t now_us);

/* The same without its being so. */
bool region_flow_would_leave(const struct region_flow *flow,
			     const struct region_flow_request *request,
			     uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
