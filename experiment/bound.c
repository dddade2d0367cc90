#include "core/duration.h"
#include "experiment/fleet_parts.h"

/* Slots of servers that are up, and the callers' factor, at a time. */
static uint32_t slots_at(const struct plan *plan, uint64_t at_us)
{
	uint32_t servers = plan_servers(plan);
	uint32_t i;

	for (i = 0; i < plan->fault_count; i++) {
		const struct plan_fault *fault = &plan->faults[i];

		if (fault->kind == PLAN_SERVERS_DOWN && at_us >= fault->at_us &&
		    at_us < fault->at_us + fault->for_us)
			servers -= MIN(servers, fault->count);
	}
	return servers * plan->slots;
}

static double burst_at(const struct plan *plan, uint64_t at_us)
{
	uint32_t i;

	for (i = 0; i < plan->fault_count; i++) {
		const struct plan_fault *fault = &plan->faults[i];

		if (fault->kind == PLAN_BURST && at_us >= fault->at_us &&
		    at_us < fault->at_us + fault->for_us)
			return fault->factor;
	}
	return 1.0;
}

/* The slot that is free first, of so many. */
static uint64_t *first_free(GArray *slots, uint32_t count)
{
	uint64_t *first = &g_array_index(slots, uint64_t, 0);
	uint32_t i;

	for (i = 1; i < count; i++) {
		uint64_t *slot = &g_array_index(slots, uint64_t, i);

		if (*slot < *first)
			first = slot;
	}
	return first;
}

static void bound_request(struct fleet *fleet, GArray *slots, GHashTable *warm,
			  const struct request *request)
{
	const struct plan *plan = fleet->plan;
	struct fleet_window *window = &fleet->result->windows[request->window];
	gpointer key = GUINT_TO_POINTER(request->object + 1);
	uint64_t *ready_us = g_hash_table_lookup(warm, key);
	uint64_t *slot =
		first_free(slots, MAX(1, slots_at(plan, fleet->now_us)));
	uint64_t from_us = MAX(*slot, request->begun_us);
	double work_us = request->work_us;

	window->asked++;
	if (ready_us) {
		from_us = MAX(from_us, *ready_us);
		work_us *= plan->warm_part;
	}
	if (ready_us &&
	    from_us + (uint64_t)work_us > request->begun_us + plan->target_us) {
		window->late++;
		window->worth += plan->late_worth;
		return;
	}
	*slot = from_us + (uint64_t)work_us;
	if (!ready_us) {
		ready_us = g_new(uint64_t, 1);
		*ready_us = *slot;
		g_hash_table_insert(warm, key, ready_us);
	}
	if (*slot <= request->begun_us + plan->target_us) {
		window->in_aim++;
		window->worth += 1.0;
	} else {
		window->late++;
		window->worth += plan->late_worth;
	}
}

/* The region whose next caller comes first; one without callers never does. */
static uint32_t next_region(const struct plan *plan, uint64_t *next_us)
{
	uint32_t first = 0;
	uint32_t i;

	for (i = 0; i < plan->region_count; i++) {
		if (plan->regions[i].per_s <= 0)
			next_us[i] = UINT64_MAX;
		if (next_us[i] < next_us[first])
			first = i;
	}
	return first;
}

void fleet_bound(const struct plan *plan, uint64_t seed,
		 struct fleet_result *result)
{
	const struct fleet_options options = { .seed = seed };
	uint32_t count = plan_servers(plan) * plan->slots;
	GHashTable *warm = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	GArray *slots = g_array_sized_new(FALSE, TRUE, sizeof(uint64_t), count);
	uint64_t next_us[PLAN_REGIONS_MOST] = { 0 };
	struct request request = { 0 };
	struct fleet fleet;
	uint32_t region;

	fleet_init(&fleet, plan, &options, result);
	g_array_set_size(slots, count);
	for (region = next_region(plan, next_us);
	     next_us[region] <= plan->length_us;
	     region = next_region(plan, next_us)) {
		fleet.now_us = next_us[region];
		draw_request(&fleet, region, &request);
		bound_request(&fleet, slots, warm, &request);
		next_us[region] += (uint64_t)draw_gap_us(
			&fleet, plan->regions[region].per_s *
					burst_at(plan, fleet.now_us));
	}
	fleet_sum_up(plan, fleet.times, result);
	g_array_unref(slots);
	g_hash_table_destroy(warm);
	fleet_release(&fleet);
}
