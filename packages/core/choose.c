#include "core/choose.h"

#include <math.h>
#include <string.h>

#include "core/admission.h"
#include "core/duration.h"
#include "core/hash.h"

/* A cold server's work takes about twice as long. */
#define COLD_SLOWNESS 2.0

/*
 * Part of a service time that a place further down the rendezvous order costs:
 * objects then have few owners, whose caches hold them. Of 0.2, 0.3 and 0.4
 * this gave the highest mean worth (0.675, 0.690, 0.692 and 0.753, 0.760,
 * 0.766).
 */
#define RANK_COST 0.4

/*
 * Cost of a server in another region beside its link, in warm service times:
 * the bytes on the links are paid for, and its slots are another region's. Of
 * 0, 0.5, 1, 1.5 and 2 this gave the highest mean worth (6 days, 4 seeds, two
 * deployments: 0.690 and 0.760 against 0.664 and 0.748 for 0).
 */
#define FAR_COST 1.0

/* Cost of a server's load, at as many as its slots, in warm service times. */
#define LOAD_COST 0.1

/* Requests over its slots that a server may hold, as a part of the slots. */
#define QUEUE_PART 1.0

/*
 * Load, as a part of its slots, up to which a server may do cold what another
 * has warm. A cold run holds a slot several times as long: where slots are
 * short, sending an object elsewhere because its own server is busy takes more
 * from the others than it gives. With three regions, 10 nodes and three
 * services, the mean worth of five days with trouble (3 seeds) rose from 0.621
 * to 0.646, that of the heaviest day from 0.550 to 0.583. Loads are known late
 * and too low, so that a limit of all slots gains half as much.
 */
#define SPARE_PART 0.4

/*
 * Answers of a service before its times are a reason to refuse. Until then the
 * queues of a start grow past the objective, when they matter most: of 20 and 5
 * the latter gave a mean worth of 0.687 against 0.680 (five days with trouble,
 * 3 seeds, 10 nodes), 2 was worse than 5 in virtual time.
 */
#define TRUST_SAMPLES 5

/*
 * How much longer a cold run takes, in warm ones, for it to be worth a wait.
 * Holding requests for an object while all slots of the server that runs its
 * first one are taken, the mean worth rose from 0.660 to 0.677 (five days with
 * trouble, 3 seeds, 10 nodes); from 0.8 or 1.3 of the slots on, it is 0.675 and
 * 0.674, and on a calm day holding whatever the load costs 0.015.
 */
#define HOLD_GAIN 0.5

/*
 * A request that is held is looked at again after so long: news take a tenth of
 * a second.
 */
#define HOLD_STEP_US (50.0 * US_PER_MS)

/* Part of requests that may warm one more server for their object. */
#define TRIAL_PART 0.005

/*
 * Nodes of a region that give a server that joined its first request. Were it
 * each node, 90 nodes and 260 servers made a fifth of all requests of half a
 * minute such first ones, most of them late. One that dies is followed by the
 * next as soon as its silence is noticed; a second one at once cost 0.002 of
 * the mean worth (five days with trouble, 3 seeds, 10 nodes).
 */
#define NEWCOMER_SENDERS 1

/* For so long a server counts as one that joined. */
#define NEWCOMER_US (10 * US_PER_S)

/* Nodes that send to a cold server, so that its allowance isn't crumbs. */
#define COLD_OWNERS 2

/* A failed request costs a further try: warm times at certain failure. */
#define FAILURE_COST 4.0

/* How long after the loss of a server requests may leave the region freely. */
#define FREE_AFTER_LOSS_US (5 * US_PER_S)

/* When to come back to a service that has no server yet. */
#define RETRY_UNKNOWN_US (1 * US_PER_S)

struct candidate {
	struct backend *backend;
	/*
	 * In the rendezvous order, the larger first. Taken once, not at each
	 * comparison: a choice among 118 servers took 106 us, and takes 34.
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

static bool region_allowed(const struct route *route, const char *region)
{
	guint i;

	for (i = 0; i < route->regions->len; i++)
		if (!strcmp(route->regions->pdata[i], region))
			return true;
	return !route->regions->len;
}

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
 * A cold server that gets more than it bears crashes. Its allowance is split
 * between the few nodes that come first in its rendezvous order of all known
 * members, also of dead ones: a node that is cut off then doesn't take itself
 * for the only one.
 */
static bool cold_allows(const struct chooser *chooser,
			const struct service *service,
			const struct backend *backend, uint64_t now_us)
{
	uint32_t most = (uint32_t)fmax(1.0, service->cold_per_s / COLD_OWNERS);

	if (backend->cold_until_us <= now_us)
		return true;
	if (member_table_rank(chooser->members, backend->hash) >= COLD_OWNERS)
		return false;
	return backend_cold_sends(backend, now_us) < most;
}

static enum choose_block blocked_by(const struct chooser *chooser,
				    const struct choose_query *query,
				    const struct backend *backend,
				    uint64_t now_us)
{
	if (backend->gone || backend->draining)
		return CHOOSE_LEAVING;
	if (backend_table_evacuated(chooser->backends, backend->domain))
		return CHOOSE_EVACUATED;
	if (backend->shun_until_us > now_us)
		return CHOOSE_SHUNNED;
	if (was_tried(query, backend))
		return CHOOSE_TRIED;
	if (!region_allowed(query->route, backend->region))
		return CHOOSE_FORBIDDEN;
	if (!cold_allows(chooser, query->service, backend, now_us))
		return CHOOSE_COLD;
	return CHOOSE_OPEN;
}

/* Rendezvous score, weighted by slots; the larger one comes first. */
static double rendezvous(const struct backend *backend, uint32_t object)
{
	double part = ((double)hash_pair(backend->hash, object) + 1.0) /
		      18446744073709551617.0;

	return -(double)backend->slots / log(part);
}

/*
 * How long to hold the request for a server that runs a first one for the same
 * object; 0: not at all. Sent now, it would run cold as well as soon as it has
 * a slot. That is left to it where a slot is free: nobody waits for it, and it
 * is answered sooner.
 */
static double hold_us(const struct chooser *chooser,
		      const struct service_times *times, struct warm_pair pair,
		      uint64_t now_us)
{
	double gain_us = times->cold_us - times->warm_us;
	uint64_t ready_us = warmth_ready_us(chooser->warmth, pair, now_us);

	if (!ready_us || gain_us < HOLD_GAIN * times->warm_us)
		return 0;
	return fmax(HOLD_STEP_US, (double)ready_us - (double)now_us);
}

static void estimate(const struct chooser *chooser,
		     const struct choose_query *query,
		     const struct service_times *times, uint64_t now_us,
		     struct candidate *candidate)
{
	struct backend *backend = candidate->backend;
	struct warm_pair pair = { backend->life, query->object };
	double load = backend_load(backend, now_us);
	double slots = backend->slots;
	double queued_us = backend_mean_work_us(backend);
	double work_us;
	double wait_us = 0;

	candidate->near = !strcmp(backend->region, chooser->region);
	candidate->warm = !query->has_object ||
			  warmth_has(chooser->warmth, pair);
	candidate->full = load >= slots + fmax(1.0, QUEUE_PART * slots);
	candidate->spare = load < SPARE_PART * slots;
	if (!(chooser->off & CHOOSE_HOLD_REQUESTS) && !candidate->warm &&
	    load >= slots)
		candidate->hold_us = hold_us(chooser, times, pair, now_us);
	work_us = (candidate->warm || candidate->hold_us > 0 ? times->warm_us :
							       times->cold_us) *
		  backend->slowness;
	if (backend->cold_until_us > now_us)
		work_us *= COLD_SLOWNESS;
	if (load >= slots)
		wait_us = (load + 1 - slots) / slots *
			  fmax(queued_us, times->warm_us * backend->slowness);
	candidate->work_us = work_us;
	candidate->wait_us = wait_us;
	candidate->expected_us =
		(double)chooser_link_us(chooser, backend->region) + work_us +
		fmax(wait_us, candidate->hold_us);
	candidate->cost_us = candidate->expected_us +
			     LOAD_COST * times->warm_us * load / slots +
			     FAILURE_COST * times->warm_us * backend->failures;
	if (!candidate->near)
		candidate->cost_us += FAR_COST * times->warm_us;
}

static gint compare_scores(gconstpointer a, gconstpointer b)
{
	const struct candidate *left = a;
	const struct candidate *right = b;

	return (left->score < right->score) - (left->score > right->score);
}

/* All that may be used, in rendezvous order, with their costs. */
static GArray *collect(const struct chooser *chooser,
		       const struct choose_query *query,
		       const struct service_times *times, uint64_t now_us)
{
	const GPtrArray *backends =
		backend_table_of(chooser->backends, query->service->name);
	GArray *candidates = g_array_new(FALSE, TRUE, sizeof(struct candidate));
	guint i;

	for (i = 0; backends && i < backends->len; i++) {
		struct candidate candidate = { .backend = backends->pdata[i] };

		if (blocked_by(chooser, query, candidate.backend, now_us) !=
		    CHOOSE_OPEN)
			continue;
		candidate.score = rendezvous(candidate.backend, query->object);
		estimate(chooser, query, times, now_us, &candidate);
		g_array_append_val(candidates, candidate);
	}
	g_array_sort(candidates, compare_scores);
	for (i = 0; i < candidates->len; i++)
		g_array_index(candidates, struct candidate, i).cost_us +=
			RANK_COST * times->warm_us * i;
	return candidates;
}

/* Whether some server has the object warm and isn't so slow that it's no use.
 */
static bool is_kept_warm(const GArray *candidates,
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

/* The cheapest in this region or out of it; kept_warm as is_kept_warm(). */
static const struct candidate *least(const GArray *candidates, bool near,
				     bool kept_warm)
{
	const struct candidate *best = NULL;
	guint i;

	for (i = 0; i < candidates->len; i++) {
		const struct candidate *candidate =
			&g_array_index(candidates, struct candidate, i);

		if (candidate->near != near || candidate->full)
			continue;
		if (kept_warm && !candidate->warm && !candidate->spare &&
		    candidate->hold_us <= 0)
			continue;
		if (!best || candidate->cost_us < best->cost_us)
			best = candidate;
	}
	return best;
}

static bool is_newcomer(const struct chooser *chooser,
			const struct backend *backend, uint64_t now_us)
{
	return backend->joined_us && !backend->served &&
	       now_us - backend->joined_us < NEWCOMER_US &&
	       member_table_near_rank(chooser->members, backend->hash, now_us) <
		       NEWCOMER_SENDERS;
}

/* A server of this region that joined and is this node's to begin with. */
static struct candidate *newcomer(const struct chooser *chooser,
				  const GArray *candidates, uint64_t now_us)
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
 * A server of this region that isn't warm for the object while another is, and
 * has room: without trials a server that joins would never be chosen.
 */
static struct candidate *unwarmed(const GArray *candidates)
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

static const struct candidate *trial(struct chooser *chooser,
				     const GArray *candidates,
				     const struct candidate *best,
				     uint64_t now_us)
{
	struct candidate *tried = newcomer(chooser, candidates, now_us);

	chooser->trial_credit = fmin(1.0, chooser->trial_credit + TRIAL_PART);
	if (!tried && chooser->trial_credit >= 1.0 && best->warm) {
		tried = unwarmed(candidates);
		if (tried)
			chooser->trial_credit = 0;
	}
	if (!tried)
		return best;
	tried->trial = true;
	return tried;
}

/*
 * Before anything is known of the demand, each region's is taken for the same:
 * what exceeds this region's part of the slots leaves it from the start. A
 * share that began at none would need ten seconds to get there in its steps.
 */
static double first_share(const struct chooser *chooser, const char *service)
{
	const GPtrArray *backends =
		backend_table_of(chooser->backends, service);
	GHashTable *regions = g_hash_table_new(g_str_hash, g_str_equal);
	double near = 0;
	double all = 0;
	double fair;
	guint i;

	for (i = 0; backends && i < backends->len; i++) {
		const struct backend *backend = backends->pdata[i];

		g_hash_table_add(regions, backend->region);
		all += backend->slots;
		if (!strcmp(backend->region, chooser->region))
			near += backend->slots;
	}
	fair = all / fmax(1.0, g_hash_table_size(regions));
	g_hash_table_destroy(regions);
	return fair > near ? 1.0 - near / fair : 0.0;
}

static struct region_flow *flow_of(struct chooser *chooser, const char *service)
{
	struct region_flow *flow = g_hash_table_lookup(chooser->flows, service);

	if (!flow) {
		flow = g_new0(struct region_flow, 1);
		region_flow_init(flow, first_share(chooser, service));
		g_hash_table_insert(chooser->flows, g_strdup(service), flow);
	}
	return flow;
}

static bool region_is_disturbed(const struct chooser *chooser, uint64_t now_us)
{
	uint64_t lost_us = chooser->backends->disturbed_us;

	return lost_us && now_us - lost_us < FREE_AFTER_LOSS_US;
}

static const struct candidate *pick(struct chooser *chooser,
				    const struct choose_query *query,
				    const struct service_times *times,
				    const GArray *candidates, uint64_t now_us)
{
	bool kept_warm = !(chooser->off & CHOOSE_KEEP_WARM) &&
			 is_kept_warm(candidates, times);
	const struct candidate *near = least(candidates, true, kept_warm);
	const struct candidate *far = least(candidates, false, kept_warm);
	struct region_flow *flow = flow_of(chooser, query->service->name);
	const struct region_flow_request request = {
		.prefers_to_leave = far &&
				    (!near || far->cost_us < near->cost_us),
		.has_object = query->has_object &&
			      !(chooser->off & CHOOSE_LEAVE_BY_OBJECT),
		.object = query->object,
		.free = region_is_disturbed(chooser, now_us),
	};

	if (!near && !far)
		return NULL;
	if (!far)
		return trial(chooser, candidates, near, now_us);
	if (region_flow_leave(flow, &request, now_us))
		return far;
	return near ? trial(chooser, candidates, near, now_us) : NULL;
}

static enum choose_reason reason_for(const struct candidate *candidate)
{
	if (candidate->trial)
		return CHOOSE_TRIAL;
	return candidate->warm ? CHOOSE_WARM : CHOOSE_RANK;
}

static bool is_taken(const struct chooser *chooser,
		     const struct choose_query *query,
		     const struct candidate *best)
{
	const struct admission_request request = {
		.expected_us = best->expected_us,
		.wait_us = best->wait_us,
		.spent_us = query->spent_us,
		.left_us = query->left_us,
		.target_us = query->route->target_us,
	};

	enum admission_verdict verdict = admission_decide(&request);

	if (chooser->off & CHOOSE_ADMIT)
		return verdict != ADMISSION_TOO_LATE;
	return verdict == ADMISSION_TAKE;
}

void choose_backend(struct chooser *chooser, const struct choose_query *query,
		    uint64_t now_us, struct choice *choice)
{
	const struct service_times *times =
		backend_table_times(chooser->backends, query->service->name,
				    query->route->target_us);
	GArray *candidates = collect(chooser, query, times, now_us);
	const struct candidate *best;

	memset(choice, 0, sizeof(*choice));
	best = pick(chooser, query, times, candidates, now_us);
	if (best && best->hold_us > 0 && !best->trial &&
	    best->expected_us < (double)query->left_us) {
		choice->reason = CHOOSE_HOLD;
		choice->hold_us = (uint64_t)fmin(best->hold_us, HOLD_STEP_US);
	} else if (best && (times->samples < TRUST_SAMPLES ||
			    is_taken(chooser, query, best))) {
		choice->backend = best->backend;
		choice->expected_us = best->expected_us;
		choice->work_us = best->work_us;
		choice->wait_us = best->wait_us;
		choice->warm = best->warm;
		choice->reason = reason_for(best);
	} else if (candidates->len) {
		choice->reason = CHOOSE_NONE_FREE;
		choice->retry_after_us = admission_retry_after_us(
			query->patience_us, g_random_double());
	} else {
		choice->reason = CHOOSE_NONE_KNOWN;
		choice->retry_after_us = RETRY_UNKNOWN_US;
	}
	g_array_unref(candidates);
}

static void add_blocked(const struct chooser *chooser,
			const struct choose_query *query, uint64_t now_us,
			GArray *views)
{
	const GPtrArray *backends =
		backend_table_of(chooser->backends, query->service->name);
	guint i;

	for (i = 0; backends && i < backends->len; i++) {
		struct choose_view view = { .backend = backends->pdata[i] };

		view.block = blocked_by(chooser, query, view.backend, now_us);
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
	GArray *candidates = collect(chooser, query, times, now_us);
	GArray *views = g_array_new(FALSE, TRUE, sizeof(struct choose_view));
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
		};

		g_array_append_val(views, view);
	}
	g_array_unref(candidates);
	add_blocked(chooser, query, now_us, views);
	return views;
}
