#include "core/choose_region.h"

#include <math.h>
#include <string.h>

#include "core/duration.h"
#include "core/region_plan.h"

/* How long after a loss requests may leave the region without limit. */
#define FREE_AFTER_LOSS_US (5 * US_PER_S)

/* Time until a plan is computed anew; demand is told less often. */
#define PLAN_VALID_US (200 * US_PER_MS)

/*
 * Initial share of requests that leave the region. It assumes equal demand in
 * all regions, so that what exceeds this region's slots leaves from the start.
 * Starting from 0, the share would take 10 s to get there in bounded steps.
 */
static double initial_share(const struct chooser *chooser, const char *service)
{
	const GPtrArray *backends =
		backend_table_by_service(chooser->backends, service);
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

static const struct region_plan *plan_of(const struct chooser *chooser,
					 const char *service)
{
	const struct region_plan *plan =
		g_hash_table_lookup(chooser->plans, service);

	return plan && plan->known ? plan : NULL;
}

struct region_flow *choose_region_flow(struct chooser *chooser,
				       const char *service)
{
	struct region_flow *flow = g_hash_table_lookup(chooser->flows, service);
	const struct region_plan *plan;

	if (flow)
		return flow;
	plan = plan_of(chooser, service);
	flow = g_new0(struct region_flow, 1);
	region_flow_init(flow,
			 plan ? plan->share : initial_share(chooser, service));
	g_hash_table_insert(chooser->flows, g_strdup(service), flow);
	return flow;
}

static bool lost_server_lately(const struct chooser *chooser, uint64_t now_us)
{
	const struct backend_table *backends = chooser->backends;
	uint64_t lost_us =
		MAX(backends->last_loss_us, backends->last_unreachable_us);

	return lost_us && now_us - lost_us < FREE_AFTER_LOSS_US;
}

struct region_flow_request
choose_region_request(const struct chooser *chooser,
		      const struct choose_query *query, bool prefers_to_leave,
		      bool has_near, uint64_t now_us)
{
	const struct region_plan *plan = plan_of(chooser, query->service->name);

	return (struct region_flow_request){
		.prefers_to_leave = prefers_to_leave,
		.has_object = query->has_object &&
			      !(chooser->disabled & CHOOSE_LEAVE_BY_OBJECT),
		.object = query->object,
		.skip_limits = lost_server_lately(chooser, now_us) ||
			       (plan && plan->wanted >= 1),
		.is_planned = plan != NULL,
		.wanted = plan ? plan->share : 0,
		.has_near = has_near,
	};
}

const char *choose_region_destination(const struct chooser *chooser,
				      const struct choose_query *query)
{
	const struct region_plan *plan = plan_of(chooser, query->service->name);

	return plan && query->has_object ?
		       region_plan_destination(plan, query->object) :
		       NULL;
}

/* --- the needs of the regions -------------------------------------------- */

static bool has_need(const GArray *needs, const char *region)
{
	guint i;

	for (i = 0; i < needs->len; i++)
		if (!strcmp(g_array_index(needs, struct region_need, i).name,
			    region))
			return true;
	return false;
}

/* Regions without servers of the service have demand, too. */
static void add_need(GArray *needs, const char *region, double slots)
{
	const struct region_need need = { .name = region, .slots = slots };

	if (!has_need(needs, region))
		g_array_append_val(needs, need);
}

static void add_regions(const struct chooser *chooser,
			const struct occupancy *occupancy, GArray *needs)
{
	GHashTableIter iter;
	gpointer value;
	guint i;

	for (i = 0; i < occupancy->regions->len; i++) {
		const struct occupancy_region *region = &g_array_index(
			occupancy->regions, struct occupancy_region, i);

		add_need(needs, region->name, region->slots);
	}
	add_need(needs, chooser->region, 0);
	g_hash_table_iter_init(&iter, chooser->members->by_name);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const char *region = ((struct member *)value)->region;

		if (region)
			add_need(needs, region, 0);
	}
}

/* A region without nodes has no callers, once other nodes are known. */
static bool may_have_callers(const struct chooser *chooser, const char *region)
{
	return !strcmp(region, chooser->region) ||
	       member_table_count(chooser->members) <= 1 ||
	       member_table_region_count(chooser->members, region) > 0;
}

/* Where the demand is unknown, it counts as the mean of the known ones. */
static void add_demand(const struct chooser *chooser, const char *service,
		       GArray *needs, uint64_t now_us)
{
	const struct room *room = chooser_find_room(chooser, service);
	double sum = 0;
	uint32_t known = 0;
	guint i;

	for (i = 0; i < needs->len; i++) {
		struct region_need *need =
			&g_array_index(needs, struct region_need, i);

		need->demand = chooser->region_demand(room, need->name, now_us);
		sum += need->demand;
		known += need->demand > 0;
	}
	for (i = 0; i < needs->len; i++) {
		struct region_need *need =
			&g_array_index(needs, struct region_need, i);

		if (need->demand <= 0 && may_have_callers(chooser, need->name))
			need->demand = known ? sum / known : 1;
	}
}

/* --- updates ------------------------------------------------------------- */

static struct occupancy *occupancy_of(struct chooser *chooser,
				      const char *service)
{
	struct occupancy *occupancy =
		g_hash_table_lookup(chooser->occupancies, service);

	if (!occupancy) {
		occupancy = occupancy_new();
		g_hash_table_insert(chooser->occupancies, g_strdup(service),
				    occupancy);
	}
	return occupancy;
}

static struct region_plan *begin_plan(struct chooser *chooser,
				      const char *service)
{
	struct region_plan *plan = g_hash_table_lookup(chooser->plans, service);

	if (!plan) {
		plan = region_plan_new();
		g_hash_table_insert(chooser->plans, g_strdup(service), plan);
	}
	return plan;
}

static void update_plan(struct chooser *chooser, const char *service,
			const struct occupancy *occupancy, uint64_t now_us)
{
	struct region_plan *plan = begin_plan(chooser, service);
	uint64_t passed_us = MIN(now_us - plan->updated_us, US_PER_S);
	GArray *needs;

	if (plan->updated_us && now_us - plan->updated_us < PLAN_VALID_US)
		return;
	needs = g_array_new(FALSE, TRUE, sizeof(struct region_need));
	add_regions(chooser, occupancy, needs);
	add_demand(chooser, service, needs, now_us);
	region_plan_update(plan, chooser->region, needs,
			   REGION_FLOW_STEP_PER_S * (double)passed_us /
				   (double)US_PER_S,
			   now_us);
	if (lost_server_lately(chooser, now_us))
		region_plan_leave_lost(plan);
	g_array_unref(needs);
}

void choose_region_update(struct chooser *chooser,
			  const struct choose_query *query, uint64_t now_us)
{
	const char *service = query->service->name;
	struct occupancy *occupancy;

	if (!backend_table_coordinates(chooser->backends, query->service)) {
		if (g_hash_table_remove(chooser->occupancies, service))
			backend_forget_reports(chooser->backends, service);
		g_hash_table_remove(chooser->plans, service);
		return;
	}
	occupancy = occupancy_of(chooser, service);
	if (occupancy_update(occupancy, chooser->backends, service, now_us))
		update_plan(chooser, service, occupancy, now_us);
}
