/*
 * region_flow - the share of a region's requests that leaves it
 *
 * A share that jumps sends requests to backend servers without cached objects
 * and takes them from servers that have these. The share therefore follows the
 * preferred choices in bounded steps. Not thread-safe.
 */
#ifndef CORE_REGION_FLOW_H
#define CORE_REGION_FLOW_H

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Largest change of the share per second. Adjacent windows of 2 s then differ
 * by 0.1, below the usual bound of 0.15 with a margin for the noise of some
 * hundred requests.
 */
#define REGION_FLOW_STEP_PER_S 0.05

struct region_flow {
	double share; /* of the objects, in effect; 0 to 1 */
	/* Smoothed share of choices that preferred to leave, or as planned. */
	double wanted;
	/*
	 * Share of requests beyond that of objects: some objects get more
	 * requests.
	 */
	double excess;
	double granted; /* share plus excess, in bounded steps */
	double credit; /* requests that may leave now */
	uint64_t moved_us; /* time of the last step */
};

/* Starts with a share that is known before any request. */
void region_flow_init(struct region_flow *flow, double share);

/* The next request, for region_flow_leave(). */
struct region_flow_request {
	bool prefers_to_leave; /* expected latencies are better elsewhere */
	bool has_object;
	uint32_t object; /* its hash */
	/*
	 * Something failed in this region, or it has no usable server: its
	 * requests leave without limits.
	 */
	bool skip_limits;
	/*
	 * The wanted share follows from capacity and demand, not from
	 * preferences. After a failure it is then taken at once where it has
	 * grown, and requests without a server here leave without limits.
	 */
	bool is_planned;
	double wanted; /* if planned */
	bool has_near; /* if planned: a server of this region can take it */
};

/*
 * Whether the next request leaves its region.
 *
 * The share is a share of objects: those whose position in a fixed order lies
 * below it are served elsewhere, so that each object has its servers in one
 * region. With a share of requests, both regions would cache all objects. As an
 * object may have so many of the requests that its move is a jump, the number
 * of requests that leave follows in bounded steps, too.
 */
bool region_flow_leave(struct region_flow *flow,
		       const struct region_flow_request *request,
		       uint64_t now_us);

/* The same answer, without recording the request. */
bool region_flow_would_leave(const struct region_flow *flow,
			     const struct region_flow_request *request,
			     uint64_t now_us);

#ifdef __cplusplus
}
#endif

#endif
