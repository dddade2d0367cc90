/*
 * candidate - the backend servers that a request may go to, and their costs
 *
 * Applies the filters, orders the remaining servers by the object's rendezvous
 * hash and estimates the cost of each. Internal to choose, which picks one.
 */
#ifndef CORE_CANDIDATE_H
#define CORE_CANDIDATE_H

#include "core/choose.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Interval at which a held request is reconsidered. Updates from peers take
 * about 100 ms.
 */
#define CANDIDATE_HOLD_STEP_US (50.0 * US_PER_MS)

struct candidate {
	struct backend *backend;
	/*
	 * Rendezvous score, sorted in descending order. Computed once: within
	 * the comparison it would take most of the time of a choice.
	 */
	double score;
	double cost_us; /* expected time plus surcharges */
	double expected_us; /* until the answer: network, wait and work */
	double work_us; /* service time */
	double usual_work_us; /* the same at the server's usual speed */
	double wait_us; /* for a slot */
	bool warm; /* has the object in its cache */
	bool near; /* in this node's region */
	bool trial; /* chosen to warm its cache, not for its cost */
	bool full; /* its queue is full */
	bool spare; /* load so low that it may run requests cold */
	double hold_us; /* until it is warm; 0: not worth waiting for */
};

/* The filter that excludes the server; CHOOSE_OPEN if none does. */
enum choose_block candidate_blocked(const struct chooser *chooser,
				    const struct choose_query *query,
				    const struct backend *backend,
				    uint64_t now_us);

/*
 * All servers that pass the filters, in rendezvous order, with their costs. An
 * array of struct candidate; the caller frees it by g_array_unref().
 */
GArray *candidates_collect(const struct chooser *chooser,
			   const struct choose_query *query,
			   const struct service_times *times, uint64_t now_us);

/*
 * The cheapest server that only its rate limit excludes and that costs less
 * than cost_us; of another region only if may_leave. Servers whose quota
 * holders have just had no token to lend are skipped. NULL if there is none.
 */
struct backend *candidates_best_rate_limited(const struct chooser *chooser,
					     const struct choose_query *query,
					     const struct service_times *times,
					     double cost_us, bool may_leave,
					     uint64_t now_us);

/*
 * Whether some server has the object in its cache, or soon will, and is faster
 * than an average cold run.
 */
bool candidates_have_warm(const GArray *candidates,
			  const struct service_times *times);

#ifdef __cplusplus
}
#endif

#endif
