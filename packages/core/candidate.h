/*
 * candidate - the backend servers that a request may go to, and their costs
 *
 * The filters that nothing passes, the rendezvous order of the object, and what
 * is expected of each server. Which of them is taken is choose's; not for other
 * modules.
 */
#ifndef CORE_CANDIDATE_H
#define CORE_CANDIDATE_H

#include "core/choose.h"

#ifdef __cplusplus
extern "C" {
#endif

/*
 * A request that is held is looked at again after so long: news take a tenth of
 * a second.
 */
#define CANDIDATE_HOLD_STEP_US (50.0 * US_PER_MS)

struct candidate {
	struct backend *backend;
	/*
	 * In the rendezvous order, the larger first. Taken once, not at each
	 * comparison, where it would be most of a choice's time.
	 */
	double score;
	double cost_us; /* expected time with the tie-break's part */
	double expected_us;
	double work_us;
	double wait_us;
	bool warm;
	bool near; /* in this node's region */
	bool trial; /* chosen to be warmed, not for its time */
	bool full;
	bool spare; /* has slots for what another server does faster */
	double hold_us; /* until it will be warm, if that is worth waiting for
			 */
};

/* What keeps the server out of the choice; CHOOSE_OPEN: nothing. */
enum choose_block candidate_blocked(const struct chooser *chooser,
				    const struct choose_query *query,
				    const struct backend *backend,
				    uint64_t now_us);

/*
 * All that may be used, in rendezvous order, with their costs: struct
 * candidate, for g_array_unref().
 */
GArray *candidates_collect(const struct chooser *chooser,
			   const struct choose_query *query,
			   const struct service_times *times, uint64_t now_us);

/*
 * The cheapest server that only its rate keeps out and that costs less than
 * this, of another region only where the request may leave; NULL if there is
 * none. Those whose senders have just said that they have no token are out.
 */
struct backend *candidates_best_limited(const struct chooser *chooser,
					const struct choose_query *query,
					const struct service_times *times,
					double cost_us, bool may_leave,
					uint64_t now_us);

/* Whether some server has the object warm and isn't so slow that it's no use.
 */
bool candidates_have_warm(const GArray *candidates,
			  const struct service_times *times);

#ifdef __cplusplus
}
#endif

#endif
