/*
 * cold_plan - which server may run a request cold while capacity is short
 *
 * A cold run holds a slot several times as long as a warm one. While a service
 * is short of capacity, an object therefore has one first run at a time, on a
 * server that all nodes of the region agree on, and further servers are warmed
 * for it only where its warm ones are too busy. Internal to choose.
 */
#ifndef CORE_COLD_PLAN_H
#define CORE_COLD_PLAN_H

#include "core/candidate.h"

#ifdef __cplusplus
extern "C" {
#endif

/* One side of a choice: this region, another one, or all others. */
struct cold_side {
	bool near;
	const char *region; /* NULL: all of this side */
};

bool cold_side_has(const struct cold_side *side,
		   const struct candidate *candidate);

/* What is known of an object's servers on one side. */
struct cold_plan {
	double extra_us; /* of a cold run, compared with a warm one */
	double objective_us; /* what is left of the request's objective */
	bool has_warm; /* a server is warm, maybe with a full queue */
	bool has_warming; /* a server is running its first request */
	/* Lowest ones of warm servers that can queue it; else INFINITY. */
	double warm_expected_us;
	double warm_wait_us;
	/* Server that is to be the first one; NULL: the cheapest. */
	const struct candidate *owner;
};

/* Candidates are in rendezvous order. */
struct cold_plan cold_plan_make(const GArray *candidates,
				const struct cold_side *side,
				const struct choose_query *query,
				const struct service_times *times);

/* Whether the request may run cold at the candidate, one of the side. */
bool cold_plan_allows(const struct cold_plan *plan,
		      const struct candidate *candidate);

#ifdef __cplusplus
}
#endif

#endif
