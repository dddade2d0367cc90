/*
 * fleet - callers, nodes and backend servers of a plan, in virtual time
 *
 * One process and one queue of events; the same plan and seed give the same
 * day. The nodes run the product's decision code; the rest is a model: servers
 * with slots, a queue, a cache of objects and time-outs that end work, links,
 * callers that wait, come back and give up, beats that take their time and get
 * lost. What it leaves out: connections, bytes, processor time, the platform's
 * store (all nodes know all servers at once), and faults of the answers.
 */
#ifndef EXPERIMENT_FLEET_H
#define EXPERIMENT_FLEET_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "experiment/plan.h"

#ifdef __cplusplus
extern "C" {
#endif

/* Who decides. */
enum fleet_policy {
	FLEET_OURS, /* the product's code */
	FLEET_TWO_CHOICES, /* the less loaded of two servers drawn by chance */
	FLEET_LEAST_LOAD, /* the least loaded of all */
	FLEET_BOUNDED_HASH, /* consistent hashing, up to 1.25 of the mean load
			     */
	FLEET_POLICIES,
};

/* What became of the requests of one window, by when their callers began. */
struct fleet_window {
	uint32_t asked;
	uint32_t in_aim;
	uint32_t late;
	uint32_t refused;
	uint32_t failed;
	uint32_t cold_runs; /* begun in the window */
	uint32_t warm_runs;
	uint32_t cut_runs; /* ended by their time-out */
	uint32_t far_sends; /* to another region */
	double worth; /* earned, of asked */
};

struct fleet_result {
	struct fleet_window *windows;
	uint32_t window_count;
	struct fleet_window total;
	double worst_windows; /* mean part of worth in the two worst */
	uint64_t p50_us; /* of answers, from the caller's first try */
	uint64_t p99_us;
};

/* What is switched off of FLEET_OURS: bits of enum choose_mechanism. */
struct fleet_options {
	enum fleet_policy policy;
	uint32_t off;
	uint64_t seed;
};

void fleet_play(const struct plan *plan, const struct fleet_options *options,
		struct fleet_result *result);
void fleet_result_release(struct fleet_result *result);

/*
 * What nobody can beat who knows all arrivals ahead: the same arrivals and work
 * on one pool of all slots, in order of arrival. Each object runs cold once,
 * all else warm; nothing takes a way, no answer waits for one that will be
 * late, and a request that can't be in time is answered late at no cost. Faults
 * take the slots of servers that are down, and what nodes knew is never lost.
 */
void fleet_bound(const struct plan *plan, uint64_t seed,
		 struct fleet_result *result);

const char *fleet_policy_name(enum fleet_policy policy);

#ifdef __cplusplus
}
#endif

#endif
