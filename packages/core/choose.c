#include "core/choose.h"

#include <math.h>
#include <string.h>

#include "core/admission.h"
#include "core/candidate.h"
#include "core/duration.h"

/*
 * Answers of a service before its times are a reason to refuse. Few, since
 * until then the queues of a start grow past the objective; one or two say
 * little.
 */
#define TRUST_SAMPLES 5

/* Part of requests that may warm one more server for their object. */
#define TRIAL_PART 0.005

/*
 * Nodes of a region that give a server that joined its first request. Were it
 * each node, dozens of nodes and of such servers would make a large part of all
 * requests first ones, most of them late. One node that dies is followed by the
 * next as soon as its silence is noticed.
 */
#define NEWCOMER_SENDERS 1

/* For so long a server counts as one that joined. */
#define NEWCOMER_US (10 * US_PER_S)

/* How long after the loss of a server requests may leave the region freely. */
#define FREE_AFTER_LOSS_US (5 * US_PER_S)

/* When to come back to a service that has no server yet. */
#define RETRY_UNKNOWN_US (1 * US_PER_S)

static bool keeps_warm(const struct chooser *chooser, const GArray *candidates,
		       const struct service_times *times)
{
	return !(chooser->off & CHOOSE_KEEP_WARM) &&
	       candidates_keep_warm(candidates, times);
}

/* The cheapest in this region or out of it; see candidates_keep_warm(). */
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

static struct region_flow_request flow_request(const struct chooser *chooser,
					       const struct choose_query *query,
					       bool prefers_to_leave,
					       uint64_t now_us)
{
	return (struct region_flow_request){
		.prefers_to_leave = prefers_to_leave,
		.has_object = query->has_object &&
			      !(chooser->off & CHOOSE_LEAVE_BY_OBJECT),
		.object = query->object,
		.skip_limits = region_is_disturbed(chooser, now_us),
	};
}

static const struct candidate *pick(struct chooser *chooser,
				    const struct choose_query *query,
				    const struct service_times *times,
				    const GArray *candidates, uint64_t now_us)
{
	bool kept_warm = keeps_warm(chooser, candidates, times);
	const struct candidate *near = least(candidates, true, kept_warm);
	const struct candidate *far = least(candidates, false, kept_warm);
	struct region_flow *flow = flow_of(chooser, query->service->name);
	const struct region_flow_request request = flow_request(
		chooser, query, far && (!near || far->cost_us < near->cost_us),
		now_us);

	if (!near && !far)
		return NULL;
	if (!far)
		return trial(chooser, candidates, near, now_us);
	if (region_flow_leave(flow, &request, now_us))
		return far;
	return near ? trial(chooser, candidates, near, now_us) : NULL;
}

/*
 * Whether a request that no server takes now, or one of another region, would
 * be let go there.
 */
static bool may_leave(struct chooser *chooser, const struct choose_query *query,
		      const struct candidate *best, uint64_t now_us)
{
	const struct region_flow_request request =
		flow_request(chooser, query, true, now_us);

	if (best)
		return !best->near;
	return region_flow_would_leave(flow_of(chooser, query->service->name),
				       &request, now_us);
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
	return verdict == ADMISSION_ACCEPT;
}

/* What servers that would be used but for their rates take a second. */
static double short_rate(const struct chooser *chooser,
			 const struct choose_query *query, uint64_t now_us)
{
	const GPtrArray *backends =
		backend_table_of(chooser->backends, query->service->name);
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

/* Each node gives out its part of the rate to those who come back. */
static uint64_t return_us(struct chooser *chooser,
			  const struct choose_query *query, double per_s,
			  uint64_t now_us)
{
	uint32_t nodes = member_table_count(chooser->members);

	return admission_schedule_retry_us(
		returns_of(chooser, query->service->name),
		per_s / MAX(nodes, 1), query->patience_us, g_random_double(),
		now_us);
}

static void refuse(struct chooser *chooser, const struct choose_query *query,
		   bool has_candidates, uint64_t now_us, struct choice *choice)
{
	double per_s = has_candidates ? 0 : short_rate(chooser, query, now_us);

	if (has_candidates) {
		choice->reason = CHOOSE_NONE_FREE;
		choice->retry_after_us = admission_retry_after_us(
			query->patience_us, g_random_double());
	} else if (per_s > 0) {
		choice->reason = CHOOSE_NO_RATE;
		choice->retry_after_us =
			return_us(chooser, query, per_s, now_us);
	} else {
		choice->reason = CHOOSE_NONE_KNOWN;
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
	GArray *candidates = candidates_collect(chooser, query, times, now_us);
	const struct candidate *best;

	memset(choice, 0, sizeof(*choice));
	best = pick(chooser, query, times, candidates, now_us);
	choice->wanted = candidates_wanted(
		chooser, query, times, best ? best->cost_us : INFINITY,
		may_leave(chooser, query, best, now_us), now_us);
	if (best && best->hold_us > 0 && !best->trial &&
	    best->expected_us < (double)query->left_us) {
		choice->reason = CHOOSE_HOLD;
		choice->hold_us =
			(uint64_t)fmin(best->hold_us, CANDIDATE_HOLD_STEP_US);
	} else if (best && (times->samples < TRUST_SAMPLES ||
			    is_taken(chooser, query, best))) {
		choice->backend = best->backend;
		choice->expected_us = best->expected_us;
		choice->work_us = best->work_us;
		choice->wait_us = best->wait_us;
		choice->warm = best->warm;
		choice->reason = reason_for(best);
	} else {
		refuse(chooser, query, candidates->len > 0, now_us, choice);
	}
	g_array_unref(candidates);
}

void choose_backend(struct chooser *chooser, const struct choose_query *query,
		    uint64_t now_us, struct choice *choice)
{
	struct choose_query together = *query;

	choose_among_all(chooser, query, now_us, choice);
	if (choice->backend || query->apart != CHOOSE_APART)
		return;
	together.apart = CHOOSE_TOGETHER;
	choose_among_all(chooser, &together, now_us, choice);
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
	bool kept_warm = keeps_warm(chooser, candidates, times);
	const struct candidate *near = least(candidates, true, kept_warm);
	const struct candidate *far = least(candidates, false, kept_warm);
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
