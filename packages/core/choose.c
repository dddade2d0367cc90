#include "core/choose.h"

#include <math.h>
#include <string.h>

#include "core/admission.h"
#include "core/candidate.h"
#include "core/choose_region.h"
#include "core/cold_plan.h"
#include "core/duration.h"
#include "core/priority_mix.h"

/*
 * Answers of a service before its average times may be a reason to refuse. One
 * or two are too few to trust; many would let queues grow past the objective
 * when the service starts.
 */
#define MIN_SAMPLES 5

/* Fraction of requests that may warm one more server for their object. */
#define TRIAL_FRACTION 0.005

/*
 * Nodes of a region that send a new server its first request. If all nodes did,
 * dozens of nodes times dozens of new servers would make a large share of all
 * requests cold ones, most of them late. If the node dies, the next in order
 * takes over after the member timeout.
 */
#define NEWCOMER_SENDERS 1

/* How long a server counts as new. */
#define NEWCOMER_US (10 * US_PER_S)

/* Retry time for a service without any usable server (CHOOSE_NONE_USABLE). */
#define RETRY_UNKNOWN_US (1 * US_PER_S)

/*
 * Callers refused since all servers rest return within this time after the
 * first rest ends, by draw: first one request at a time is sent there.
 */
#define REST_RETURN_US (500 * US_PER_MS)

static const struct cold_side near_side = { .near = true };
static const struct cold_side far_side = { .near = false };

static bool avoids_cold_runs(const struct chooser *chooser,
			     const GArray *candidates,
			     const struct service_times *times)
{
	return !(chooser->disabled & CHOOSE_KEEP_WARM) &&
	       candidates_have_warm(candidates, times);
}

/* What a choice knows of cold runs, the same for all candidates. */
struct cold_rules {
	const struct choose_query *query;
	const struct service_times *times;
	bool avoid; /* servers without spare slots run nothing cold */
	bool plan; /* instead: while capacity is short, by cold_plan */
};

static struct cold_rules cold_rules_for(const struct chooser *chooser,
					const struct choose_query *query,
					const GArray *candidates,
					const struct service_times *times)
{
	return (struct cold_rules){
		.query = query,
		.times = times,
		.avoid = avoids_cold_runs(chooser, candidates, times),
		/* A request to be isolated goes to the emptiest server. */
		.plan = query->has_object &&
			query->isolation != CHOOSE_ISOLATE_REQUIRED &&
			!(chooser->disabled & CHOOSE_KEEP_WARM) &&
			chooser_plans_cold_runs(chooser, query->service->name),
	};
}

static bool may_take(const struct cold_rules *rules,
		     const struct cold_plan *plan,
		     const struct candidate *candidate)
{
	if (candidate->full)
		return false;
	if (candidate->warm || candidate->hold_us > 0)
		return true;
	if (rules->plan)
		return cold_plan_allows(plan, candidate);
	return !rules->avoid || candidate->spare;
}

/* The cheapest server of the side that may take the request. */
static const struct candidate *find_cheapest(const GArray *candidates,
					     const struct cold_side *side,
					     const struct cold_rules *rules)
{
	const struct candidate *best = NULL;
	struct cold_plan plan = { .has_warm = false };
	guint i;

	if (rules->plan)
		plan = cold_plan_make(candidates, side, rules->query,
				      rules->times);

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);

		if (!cold_side_has(side, candidate) ||
		    !may_take(rules, &plan, candidate))
			continue;
		if (!best || candidate->cost_us < best->cost_us)
			best = candidate;
	}
	return best;
}

static bool is_newcomer(const struct chooser *chooser,
			const struct backend *backend, uint64_t now_us)
{
	return backend->joined_us && !backend->sends &&
	       now_us - backend->joined_us < NEWCOMER_US &&
	       member_table_near_rank(chooser->members, backend->hash, now_us) <
		       NEWCOMER_SENDERS;
}

/* A new server of this region to which this node sends the first request. */
static struct candidate *find_newcomer(const struct chooser *chooser,
				       const GArray *candidates,
				       uint64_t now_us)
{
	guint i;

	for (i = 0; i < candidates->len; i++) {
		struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);

		if (candidate->near &&
		    is_newcomer(chooser, candidate->backend, now_us))
			return candidate;
	}
	return NULL;
}

/*
 * A server of this region that isn't warm for the object, whose queue isn't
 * full and where this node's own requests take less than half of the slots.
 * Without trials a new server would never be chosen while another is warm.
 */
static struct candidate *find_unwarmed(const GArray *candidates)
{
	guint i;

	for (i = 0; i < candidates->len; i++) {
		struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);

		if (candidate->near && !candidate->full && !candidate->warm &&
		    candidate->backend->in_flight * 2 <
			    candidate->backend->slots)
			return candidate;
	}
	return NULL;
}

/*
 * Replaces the best server by one to be warmed, if there is one: a new server
 * always, another one for a fraction of requests. Not while cold runs are
 * planned: then a trial takes capacity from requests that wait.
 */
static const struct candidate *trial(struct chooser *chooser,
				     const GArray *candidates,
				     const struct cold_rules *rules,
				     const struct candidate *best,
				     uint64_t now_us)
{
	struct candidate *tried;

	if (rules->plan)
		return best;
	tried = find_newcomer(chooser, candidates, now_us);
	chooser->trial_credit =
		fmin(1.0, chooser->trial_credit + TRIAL_FRACTION);
	if (!tried && chooser->trial_credit >= 1.0 && best->warm) {
		tried = find_unwarmed(candidates);
		if (tried)
			chooser->trial_credit = 0;
	}
	if (!tried)
		return best;
	tried->trial = true;
	return tried;
}

static bool is_held(const struct choose_query *query,
		    const struct candidate *best)
{
	return best && best->hold_us > 0 && !best->trial &&
	       best->expected_us < (double)query->left_us;
}

/* The cheapest server outside this region; of the planned one if it has any. */
static const struct candidate *find_far(const struct chooser *chooser,
					const GArray *candidates,
					const struct cold_rules *rules)
{
	const struct cold_side planned = {
		.region = choose_region_destination(chooser, rules->query),
	};
	const struct candidate *far = NULL;

	if (planned.region)
		far = find_cheapest(candidates, &planned, rules);
	return far ? far : find_cheapest(candidates, &far_side, rules);
}

/*
 * Whether the request goes to the far server and not to the near one. A held
 * request is chosen for again and counts only once, at last.
 */
static bool leaves(struct chooser *chooser, const struct choose_query *query,
		   const struct candidate *near, const struct candidate *far,
		   uint64_t now_us)
{
	struct region_flow *flow =
		choose_region_flow(chooser, query->service->name);
	const struct region_flow_request request = choose_region_request(
		chooser, query, !near || far->cost_us < near->cost_us, near,
		now_us);
	bool leave = region_flow_would_leave(flow, &request, now_us);

	if (request.is_planned && is_held(query, leave ? far : near))
		return leave;
	return region_flow_leave(flow, &request, now_us);
}

static const struct candidate *pick(struct chooser *chooser,
				    const struct choose_query *query,
				    const struct service_times *times,
				    const GArray *candidates, uint64_t now_us)
{
	const struct cold_rules rules =
		cold_rules_for(chooser, query, candidates, times);
	const struct candidate *near =
		find_cheapest(candidates, &near_side, &rules);
	const struct candidate *far = find_far(chooser, candidates, &rules);

	choose_region_flow(chooser, query->service->name);
	if (!near && !far)
		return NULL;
	/* No choice of the node's, and no part of the share that leaves. */
	if (!choose_query_allows(query, chooser->region))
		return far;
	if (!far)
		return trial(chooser, candidates, &rules, near, now_us);
	if (leaves(chooser, query, near, far, now_us))
		return far;
	return near ? trial(chooser, candidates, &rules, near, now_us) : NULL;
}

/*
 * Whether the request may go to another region for a server that is now out of
 * tokens. True if the best server is in another region; if there is none, as
 * region_flow decides.
 */
static bool may_leave(struct chooser *chooser, const struct choose_query *query,
		      const struct candidate *best, uint64_t now_us)
{
	const struct region_flow_request request =
		choose_region_request(chooser, query, true, false, now_us);

	if (best)
		return !best->near;
	if (!choose_query_allows(query, chooser->region))
		return true;
	return region_flow_would_leave(choose_region_flow(chooser,
							  query->service->name),
				       &request, now_us);
}

static enum choose_reason reason_for(const struct candidate *candidate)
{
	if (candidate->trial)
		return CHOOSE_TRIAL;
	return candidate->warm ? CHOOSE_WARM : CHOOSE_RANK;
}

static struct room *room_of(struct chooser *chooser,
			    const struct choose_query *query)
{
	return backend_table_coordinates(chooser->backends, query->service) ?
		       chooser_room(chooser, query->service->name) :
		       NULL;
}

static double allowed_wait_us(struct room *room,
			      const struct choose_query *query,
			      const struct service_times *times,
			      const struct candidate *best, uint64_t now_us)
{
	const struct room_request request = {
		.class_of = choose_query_class(query),
		.target_us = (double)query->route->target_us,
		.spent_us = (double)(query->spent_before_us + query->spent_us),
		.round_trip_us = best->expected_us - best->work_us -
				 fmax(best->wait_us, best->hold_us),
		.work_us = best->work_us,
		.warm_us = times->warm_us,
	};

	return room_allowed_wait_us(room, &request, now_us);
}

static enum admission_verdict decide(struct chooser *chooser,
				     const struct choose_query *query,
				     const struct service_times *times,
				     const struct candidate *best,
				     uint64_t now_us)
{
	const struct priority_mix *mix =
		g_hash_table_lookup(chooser->mixes, query->service->name);
	struct room *room = room_of(chooser, query);
	const struct admission_request request = {
		.expected_us = best->expected_us,
		.wait_us = best->wait_us,
		.spent_us = query->spent_us,
		.left_us = query->left_us,
		.target_us = query->route->target_us,
		.higher_share =
			mix ? priority_mix_higher(mix, query->priority) : 0,
	};
	const struct room_class class = choose_query_class(query);
	enum admission_verdict verdict;

	if (!room)
		return admission_decide(&request);
	verdict = admission_decide_by_wait(
		&request, allowed_wait_us(room, query, times, best, now_us));
	if (verdict == ADMISSION_QUEUE_LATE && room_has_credit(room, &class))
		return ADMISSION_ACCEPT;
	return verdict;
}

/* Whether the best server may take the request; notes why not. */
static bool is_admitted(struct chooser *chooser,
			const struct choose_query *query,
			const struct service_times *times,
			const struct candidate *best, uint64_t now_us,
			struct choice *choice)
{
	enum admission_verdict verdict;

	/* The average times aren't known yet. */
	if (times->samples < MIN_SAMPLES)
		return true;
	verdict = decide(chooser, query, times, best, now_us);
	choice->rejection = verdict == ADMISSION_TOO_LATE ? ROOM_TOO_LATE :
							    ROOM_QUEUE_LATE;
	if (chooser->disabled & CHOOSE_ADMIT)
		return verdict != ADMISSION_TOO_LATE;
	return verdict == ADMISSION_ACCEPT;
}

/* Sum of the rates of servers that only their rate limit excludes, per s. */
static double blocked_rate_per_s(const struct chooser *chooser,
				 const struct choose_query *query,
				 uint64_t now_us)
{
	const GPtrArray *backends = backend_table_by_service(
		chooser->backends, query->service->name);
	double per_s = 0;
	guint i;

	for (i = 0; backends && i < backends->len; i++) {
		const struct backend *backend = backends->pdata[i];

		if (candidate_blocked(chooser, query, backend, now_us) ==
		    CHOOSE_LIMITED)
			per_s += rate_limit_effective(&backend->limit, now_us);
	}
	return per_s;
}

static struct admission_retry_schedule *returns_of(struct chooser *chooser,
						   const char *service)
{
	struct admission_retry_schedule *returns =
		g_hash_table_lookup(chooser->returns, service);

	if (!returns) {
		returns = g_new0(struct admission_retry_schedule, 1);
		g_hash_table_insert(chooser->returns, g_strdup(service),
				    returns);
	}
	return returns;
}

/* Retry time by rate limit; each node hands out an equal share of the rate. */
static uint64_t rate_retry_after_us(struct chooser *chooser,
				    const struct choose_query *query,
				    double per_s, uint64_t now_us)
{
	uint32_t nodes = member_table_count(chooser->members);

	return admission_schedule_retry_us(
		returns_of(chooser, query->service->name),
		per_s / MAX(nodes, 1), query->patience_us, g_random_double(),
		now_us);
}

uint64_t chooser_rest_retry_us(const struct chooser *chooser,
			       const struct choose_query *query,
			       uint64_t now_us)
{
	const GPtrArray *backends = backend_table_by_service(
		chooser->backends, query->service->name);
	uint64_t first_us = UINT64_MAX;
	guint i;

	for (i = 0; backends && i < backends->len; i++) {
		const struct backend *backend = backends->pdata[i];

		switch (candidate_blocked(chooser, query, backend, now_us)) {
		case CHOOSE_OPEN:
			return 0;
		case CHOOSE_RESTING:
			first_us = MIN(first_us, backend->rest_until_us);
			break;
		default:
			break;
		}
	}
	if (first_us == UINT64_MAX)
		return 0;
	return first_us - MIN(first_us, now_us) +
	       (uint64_t)(g_random_double() * REST_RETURN_US) + 1;
}

/* Time until the first slot is free. */
static double shortest_wait_us(const GArray *candidates)
{
	double wait_us = INFINITY;
	guint i;

	for (i = 0; i < candidates->len; i++)
		wait_us = fmin(
			wait_us,
			g_array_index(candidates, struct candidate, i).wait_us);
	return wait_us;
}

static void refuse(struct chooser *chooser, const struct choose_query *query,
		   const GArray *candidates, uint64_t now_us,
		   struct choice *choice)
{
	bool has_candidates = candidates->len > 0;
	double per_s =
		has_candidates ? 0 : blocked_rate_per_s(chooser, query, now_us);
	uint64_t rest_us =
		has_candidates ? 0 :
				 chooser_rest_retry_us(chooser, query, now_us);

	if (has_candidates) {
		choice->reason = CHOOSE_NONE_FREE;
		choice->drain_us = shortest_wait_us(candidates);
		choice->retry_after_us = admission_retry_after_us(
			query->patience_us, g_random_double());
	} else if (per_s > 0) {
		choice->reason = CHOOSE_NO_RATE;
		choice->retry_after_us =
			rate_retry_after_us(chooser, query, per_s, now_us);
	} else if (rest_us) {
		choice->reason = CHOOSE_ALL_REST;
		choice->retry_after_us = rest_us;
	} else {
		choice->reason = CHOOSE_NONE_USABLE;
		choice->retry_after_us = RETRY_UNKNOWN_US;
	}
}

static void choose_among_all(struct chooser *chooser,
			     const struct choose_query *query, uint64_t now_us,
			     struct choice *choice)
{
	const struct service_times *times =
		backend_table_times(chooser->backends, query->service->name,
				    query->route->target_us);
	GArray *candidates;
	const struct candidate *best;

	choose_region_update(chooser, query, now_us);
	candidates = candidates_collect(chooser, query, times, now_us);
	memset(choice, 0, sizeof(*choice));
	choice->rejection = ROOM_ALL_FULL;
	best = pick(chooser, query, times, candidates, now_us);
	choice->best_rate_limited = candidates_best_rate_limited(
		chooser, query, times, best ? best->cost_us : INFINITY,
		may_leave(chooser, query, best, now_us), now_us);
	if (is_held(query, best)) {
		choice->reason = CHOOSE_HOLD;
		choice->hold_us =
			(uint64_t)fmin(best->hold_us, CANDIDATE_HOLD_STEP_US);
	} else if (best &&
		   is_admitted(chooser, query, times, best, now_us, choice)) {
		choice->backend = best->backend;
		choice->expected_us = best->expected_us;
		choice->work_us = best->usual_work_us;
		choice->wait_us = best->wait_us;
		choice->warm = best->warm;
		choice->reason = reason_for(best);
	} else {
		refuse(chooser, query, candidates, now_us, choice);
	}
	g_array_unref(candidates);
}

/* A service that coordinates has no room for the request. */
static void reject(struct chooser *chooser, const struct choose_query *query,
		   uint64_t now_us, struct choice *choice)
{
	struct room *room = room_of(chooser, query);
	const struct room_class class = choose_query_class(query);

	if (!room)
		return;
	room_note_rejected(room, &class, choice->rejection);
	choice->retry_after_us = room_retry_after_us(
		room, choice->drain_us, query->patience_us, now_us);
}

void choose_backend(struct chooser *chooser, const struct choose_query *query,
		    uint64_t now_us, struct choice *choice)
{
	struct choose_query together = *query;

	choose_among_all(chooser, query, now_us, choice);
	if (!choice->backend && query->isolation == CHOOSE_ISOLATE_PREFERRED) {
		together.isolation = CHOOSE_ISOLATE_NONE;
		choose_among_all(chooser, &together, now_us, choice);
	}
	if (!choice->backend && choice->reason == CHOOSE_NONE_FREE)
		reject(chooser, query, now_us, choice);
}

static void add_blocked(const struct chooser *chooser,
			const struct choose_query *query, uint64_t now_us,
			GArray *views)
{
	const GPtrArray *backends = backend_table_by_service(
		chooser->backends, query->service->name);
	guint i;

	for (i = 0; backends && i < backends->len; i++) {
		struct choose_view view = { .backend = backends->pdata[i] };

		view.block =
			candidate_blocked(chooser, query, view.backend, now_us);
		if (view.block != CHOOSE_OPEN)
			g_array_append_val(views, view);
	}
}

GArray *choose_explain(const struct chooser *chooser,
		       const struct choose_query *query, uint64_t now_us)
{
	const struct service_times *times =
		backend_table_times(chooser->backends, query->service->name,
				    query->route->target_us);
	GArray *candidates = candidates_collect(chooser, query, times, now_us);
	GArray *views = g_array_new(FALSE, TRUE, sizeof(struct choose_view));
	const struct cold_rules rules =
		cold_rules_for(chooser, query, candidates, times);
	const struct candidate *near =
		find_cheapest(candidates, &near_side, &rules);
	const struct candidate *far = find_far(chooser, candidates, &rules);
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);
		const struct choose_view view = {
			.backend = candidate->backend,
			.block = CHOOSE_OPEN,
			.cost_us = candidate->cost_us,
			.expected_us = candidate->expected_us,
			.warm = candidate->warm,
			.near = candidate->near,
			.full = candidate->full,
			.best = candidate == near || candidate == far,
		};

		g_array_append_val(views, view);
	}
	g_array_unref(candidates);
	add_blocked(chooser, query, now_us, views);
	return views;
}
