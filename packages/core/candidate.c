#include "core/candidate.h"

#include <math.h>
#include <string.h>

#include "core/duration.h"
#include "core/hash.h"

/* Factor on the service time of a server that is still warming up. */
#define COLD_SLOWNESS 2.0

/*
 * Cost of each place further down the rendezvous order, in warm service times.
 * It keeps each object on few servers, whose caches then hold it.
 */
#define RANK_COST 0.4

/*
 * Cost of a server in another region in addition to the round trip, in warm
 * service times: traffic between regions costs money, and its slots are meant
 * for its own region.
 */
#define FAR_COST 1.0

/* Cost of a load equal to the server's slots, in warm service times. */
#define LOAD_COST 0.1

/* Requests that a server may queue, as a fraction of its slots. */
#define QUEUE_FRACTION 1.0

/*
 * Load, as a fraction of its slots, up to which a server may run a request cold
 * that another server has warm. A cold run holds a slot several times as long:
 * when slots are scarce, moving an object off its busy server costs the others
 * more than it saves. Well below 1, since load estimates are late and too low.
 */
#define SPARE_FRACTION 0.4

/*
 * Extra time of a cold run, in warm service times, from which it is worth
 * holding a request until the object's first run has warmed a server whose
 * slots are all taken.
 */
#define HOLD_GAIN 0.5

/* Nodes that share a cold server's allowance; more would get tiny shares. */
#define COLD_SENDERS 2

/* Cost of a retry at a failure rate of 1, in warm service times. */
#define FAILURE_COST 4.0

/*
 * Cost of a server that runs a request suspected of crashing servers, in warm
 * service times: a crash ends all other requests there.
 */
#define SUSPECT_COST 4.0

/* Cost of each request at a server for a suspect that needs isolation. */
#define COLOCATION_COST 1.0

static bool was_tried(const struct choose_query *query,
		      const struct backend *backend)
{
	uint32_t i;

	for (i = 0; i < query->tried_count; i++)
		if (query->tried[i] == backend)
			return true;
	return false;
}

/*
 * Whether this node may still send to the server if it is cold. A cold server
 * crashes under too many requests, so its allowance is split between the first
 * COLD_SENDERS nodes in its rendezvous order of all known members. Dead ones
 * count too, so that a partitioned node doesn't use the whole allowance.
 */
static bool cold_allows(const struct chooser *chooser,
			const struct service *service,
			const struct backend *backend, uint64_t now_us)
{
	uint32_t max_per_s =
		(uint32_t)fmax(1.0, service->cold_per_s / COLD_SENDERS);

	if (backend->cold_until_us <= now_us)
		return true;
	if (member_table_rank(chooser->members, backend->hash) >= COLD_SENDERS)
		return false;
	return backend_cold_sends(backend, now_us) < max_per_s;
}

static bool has_suspect(const struct chooser *chooser,
			const struct backend *backend, bool isolated_only,
			uint64_t now_us)
{
	return chooser->suspects &&
	       suspect_runs_on(chooser->suspects, backend->incarnation,
			       isolated_only, now_us);
}

enum choose_block candidate_blocked(const struct chooser *chooser,
				    const struct choose_query *query,
				    const struct backend *backend,
				    uint64_t now_us)
{
	if (backend_is_leaving(backend))
		return CHOOSE_LEAVING;
	if (backend_table_evacuated(chooser->backends, backend->domain))
		return CHOOSE_EVACUATED;
	if (backend->shun_until_us > now_us)
		return CHOOSE_SHUNNED;
	if (!choose_query_allows(query, backend->region))
		return CHOOSE_FORBIDDEN;
	if (!cold_allows(chooser, query->service, backend, now_us))
		return CHOOSE_COLD;
	if (query->isolation != CHOOSE_ISOLATE_NONE &&
	    has_suspect(chooser, backend, false, now_us))
		return CHOOSE_SUSPECT;
	if (backend_rest_excludes(backend, query->tried_count > 0, now_us))
		return CHOOSE_RESTING;
	if (was_tried(query, backend))
		return CHOOSE_TRIED;
	if (!rate_limit_allows(&backend->limit, now_us))
		return CHOOSE_LIMITED;
	return CHOOSE_OPEN;
}

/* Rendezvous score, weighted by slots; a larger score ranks first. */
static double rendezvous(const struct backend *backend, uint32_t object)
{
	double uniform = ((double)hash_pair(backend->hash, object) + 1.0) /
			 18446744073709551617.0;

	return -(double)backend->slots / log(uniform);
}

/*
 * How long to hold the request for a server that is running the object's first
 * request; 0: don't. Sent at once it would run cold, too, when it gets a slot.
 * Where a slot is free, a cold run is answered sooner; it isn't called there
 * unless cold runs are planned.
 */
static double hold_us(const struct chooser *chooser,
		      const struct service_times *times, struct warm_pair pair,
		      uint64_t now_us)
{
	double gain_us = times->cold_us - times->warm_us;
	uint64_t ready_us;

	if (gain_us < HOLD_GAIN * times->warm_us)
		return 0;
	ready_us = warmth_ready_us(chooser->warmth, pair, now_us);
	if (!ready_us)
		return 0;
	return fmax(CANDIDATE_HOLD_STEP_US, (double)ready_us - (double)now_us);
}

/*
 * Network time: one round trip, and another one where no connection is idle and
 * one has to be opened. Without the latter, requests to another region were
 * taken to be as fast as over an open connection, but took 200 ms to arrive.
 */
static double round_trip_us(const struct chooser *chooser,
			    const struct backend *backend)
{
	double link_us = (double)chooser_link_us(chooser, backend->region);

	return backend->idle_connections ? link_us : 2 * link_us;
}

static void estimate(const struct chooser *chooser,
		     const struct choose_query *query,
		     const struct service_times *times, uint64_t now_us,
		     struct candidate *candidate)
{
	struct backend *backend = candidate->backend;
	struct warm_pair pair = { backend->incarnation, query->object };
	double load = backend_load(backend, now_us);
	double slots = backend->slots;
	double speed = backend_speed(backend, now_us);
	double queued_us = backend_mean_work_us(backend);
	double work_us;
	double wait_us = 0;

	candidate->near = !strcmp(backend->region, chooser->region);
	candidate->warm = !query->has_object ||
			  warmth_has(chooser->warmth, pair);
	candidate->full = load >= slots + fmax(1.0, QUEUE_FRACTION * slots);
	candidate->spare = load < SPARE_FRACTION * slots;
	if (!(chooser->disabled & CHOOSE_HOLD_REQUESTS) && !candidate->warm &&
	    load >= slots)
		candidate->hold_us = hold_us(chooser, times, pair, now_us);
	work_us = (candidate->warm || candidate->hold_us > 0 ? times->warm_us :
							       times->cold_us) *
		  backend->slowness;
	if (backend->cold_until_us > now_us)
		work_us *= COLD_SLOWNESS;
	if (load >= slots)
		wait_us = (load + 1 - slots) / slots *
			  fmax(queued_us, times->warm_us * backend->slowness) *
			  speed;
	candidate->usual_work_us = work_us;
	work_us *= speed;
	candidate->work_us = work_us;
	candidate->wait_us = wait_us;
	candidate->expected_us = round_trip_us(chooser, backend) + work_us +
				 fmax(wait_us, candidate->hold_us);
	candidate->cost_us = candidate->expected_us +
			     LOAD_COST * times->warm_us * load / slots +
			     FAILURE_COST * times->warm_us * backend->failures;
	if (!candidate->near)
		candidate->cost_us += FAR_COST * times->warm_us;
	if (has_suspect(chooser, backend, true, now_us))
		candidate->cost_us += SUSPECT_COST * times->warm_us;
	if (query->isolation == CHOOSE_ISOLATE_REQUIRED)
		candidate->cost_us += COLOCATION_COST * times->warm_us * load;
}

/* Whether a request that may wait held_us, or else run cold, should wait. */
static bool should_hold(const struct choose_query *query, double held_us,
			double cold_us)
{
	double left_us = (double)query->left_us;

	/* The first run may fail: then there must be time for a cold one. */
	return held_us < left_us &&
	       (cold_us >= left_us ||
		cold_us + CANDIDATE_HOLD_STEP_US < left_us);
}

/*
 * While cold runs are planned, a request waits for the first run of its object
 * although a slot may be free: it would hold that slot for a cold run.
 */
static void plan_hold(const struct chooser *chooser,
		      const struct choose_query *query,
		      const struct service_times *times, uint64_t now_us,
		      struct candidate *candidate)
{
	const struct warm_pair pair = { candidate->backend->incarnation,
					query->object };
	double until_us;
	double ratio = times->warm_us / times->cold_us;
	double spent_us = fmax(candidate->wait_us, candidate->hold_us) +
			  candidate->work_us;
	double warm_work_us = candidate->work_us;
	double cold_work_us = candidate->work_us;
	double network_us = candidate->expected_us - spent_us;
	bool holds;

	if (candidate->warm)
		return;
	until_us = hold_us(chooser, times, pair, now_us);
	if (until_us <= 0)
		return;
	if (candidate->hold_us > 0)
		cold_work_us /= ratio;
	else
		warm_work_us *= ratio;
	holds = should_hold(query,
			    network_us + warm_work_us +
				    fmax(candidate->wait_us, until_us),
			    network_us + cold_work_us + candidate->wait_us);
	candidate->hold_us = holds ? until_us : 0;
	candidate->work_us = holds ? warm_work_us : cold_work_us;
	candidate->expected_us = network_us + candidate->work_us +
				 fmax(candidate->wait_us, candidate->hold_us);
	candidate->cost_us += candidate->expected_us - network_us - spent_us;
}

static gint compare_scores(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	return (left->score < right->score) - (left->score > right->score);
}

GArray *candidates_collect(const struct chooser *chooser,
			   const struct choose_query *query,
			   const struct service_times *times, uint64_t now_us)
{
	const GPtrArray *backends = backend_table_by_service(
		chooser->backends, query->service->name);
	GArray *candidates = g_array_sized_new(FALSE, FALSE,
					       sizeof(struct candidate),
					       backends ? backends->len : 0);
	bool plans = !(chooser->disabled & CHOOSE_HOLD_REQUESTS) &&
		     chooser_plans_cold_runs(chooser, query->service->name);
	guint i;

	for (i = 0; backends && i < backends->len; i++) {
		struct candidate candidate = { .backend = backends->pdata[i] };

		if (candidate_blocked(chooser, query, candidate.backend,
				      now_us) != CHOOSE_OPEN)
			continue;
		candidate.score = rendezvous(candidate.backend, query->object);
		estimate(chooser, query, times, now_us, &candidate);
		if (plans)
			plan_hold(chooser, query, times, now_us, &candidate);
		g_array_append_val(candidates, candidate);
	}
	g_array_sort(candidates, compare_scores);
	for (i = 0; i < candidates->len; i++)
		g_array_index(candidates, struct candidate, i).cost_us +=
			RANK_COST * times->warm_us * i;
	return candidates;
}

bool candidates_have_warm(const GArray *candidates,
			  const struct service_times *times)
{
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);

		if ((candidate->warm || candidate->hold_us > 0) &&
		    candidate->work_us < times->cold_us)
			return true;
	}
	return false;
}

static bool is_blocked_only_by_rate(const struct chooser *chooser,
				    const struct choose_query *query,
				    const struct backend *backend,
				    uint64_t now_us)
{
	return rate_limit_is_limited(&backend->limit, now_us) &&
	       candidate_blocked(chooser, query, backend, now_us) ==
		       CHOOSE_LIMITED;
}

/* A token must be borrowed first, from a node near the server. */
static void add_token_round_trip(const struct chooser *chooser,
				 struct candidate *candidate)
{
	double round_trip_us;

	if (candidate->near)
		return;
	round_trip_us =
		(double)chooser_link_us(chooser, candidate->backend->region);
	candidate->expected_us += round_trip_us;
	candidate->cost_us += round_trip_us;
}

struct backend *candidates_best_rate_limited(const struct chooser *chooser,
					     const struct choose_query *query,
					     const struct service_times *times,
					     double cost_us, bool may_leave,
					     uint64_t now_us)
{
	const GPtrArray *backends = backend_table_by_service(
		chooser->backends, query->service->name);
	struct backend *wanted = NULL;
	guint i;

	for (i = 0; backends && i < backends->len; i++) {
		struct candidate candidate = { .backend = backends->pdata[i] };

		if (!is_blocked_only_by_rate(chooser, query, candidate.backend,
					     now_us) ||
		    now_us < candidate.backend->limit.ask_again_us)
			continue;
		estimate(chooser, query, times, now_us, &candidate);
		add_token_round_trip(chooser, &candidate);
		if (candidate.full || candidate.cost_us >= cost_us ||
		    (!candidate.near && !may_leave) ||
		    candidate.expected_us >= (double)query->left_us)
			continue;
		cost_us = candidate.cost_us;
		wanted = candidate.backend;
	}
	return wanted;
}
