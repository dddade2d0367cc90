/*
 * Three common policies to compare with. Entry nodes send to backend servers
 * directly; a server queues twice its slots and sheds the rest. Health checks
 * and lists are two seconds old, failed connects and sheds go on to another
 * place within the same retry budget as ours has.
 */
#include "bench/world.h"

#include <string.h>

#include "core/budget.h"
#include "core/result.h"

#define RETRY_PERMILLE 100
#define RETRY_BURST 20
#define LOAD_POLL_US (500 * MS)

struct baseline_entry {
	struct budget budget;
	uint32_t turn[WORLD_PLACES];
	uint32_t outstanding[WORLD_MAX_BACKENDS];
	uint64_t shift_second;
	uint32_t shifted; /* in that second */
};

struct baseline {
	struct policy policy; /* first */
	struct world *world;
	struct baseline_entry entries[WORLD_MAX_NODES];
	uint32_t reported[WORLD_MAX_BACKENDS];
	uint64_t reported_us;
};

static struct policy *open_with(struct world *world,
				const struct policy_vtable *vtable)
{
	struct baseline *baseline = g_new0(struct baseline, 1);
	uint32_t i;

	baseline->policy.vtable = vtable;
	baseline->world = world;
	for (i = 0; i < WORLD_MAX_NODES; i++)
		budget_init(&baseline->entries[i].budget, RETRY_PERMILLE,
			    RETRY_BURST);
	return &baseline->policy;
}

static void close_baseline(struct policy *policy)
{
	g_free(policy);
}

static bool is_old(const struct world *world, uint64_t changed_us)
{
	return changed_us && world->now_us < changed_us + WORLD_LIST_LAG_US;
}

/* What health checks and lists say, two seconds late. */
static bool seems_usable(const struct world *world, uint32_t entry,
			 const struct world_backend *server)
{
	uint32_t cut = is_old(world, world->cut_changed_us) ?
			       world->cut_before :
			       world->region_cut;
	uint32_t a = world_region(world->nodes[entry].place);
	uint32_t b = world_region(server->place);
	bool dead = server->dead != is_old(world, server->died_us);
	bool leaving = server->leaving &&
		       !is_old(world, server->leaving_since_us);

	return !dead && !leaving && (a == b || (a != cut && b != cut));
}

static bool was_tried(const struct world_request *request, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < request->tried_count; i++)
		if (request->tried[i] == place)
			return true;
	return false;
}

/* A shift's share by the draw, its cap by a counter of each entry node. */
static bool takes_shift(struct baseline *baseline,
			const struct world_request *request)
{
	struct world *world = baseline->world;
	struct baseline_entry *entry = &baseline->entries[request->entry];
	uint64_t second = world->now_us / SECOND;
	uint32_t most;

	if (!world->shift.on || request->home != world->shift.from ||
	    request->tried_count ||
	    request->draw % 1000 >= world->shift.share_permille)
		return false;
	if (second != entry->shift_second)
		entry->shifted = 0;
	entry->shift_second = second;
	most = world->shift.cap_per_s / world->nodes[request->entry].count;
	if (entry->shifted >= most)
		return false;
	entry->shifted++;
	return true;
}

/* Usable servers no farther than far_us that aren't at a tried place. */
static uint32_t list_within(struct baseline *baseline,
			    const struct world_request *request,
			    uint64_t far_us, uint32_t *candidates)
{
	struct world *world = baseline->world;
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < world->backend_count; i++) {
		uint32_t place = world->backends[i].place;

		if (world_one_way_us(world, request->home, place) <= far_us &&
		    !was_tried(request, place) &&
		    seems_usable(world, request->entry, &world->backends[i]))
			candidates[count++] = i;
	}
	return count;
}

static bool route_with(struct policy *policy, struct world_request *request,
		       const uint64_t *rings_us, uint32_t ring_count,
		       uint32_t (*pick)(struct baseline *baseline,
					const struct world_request *request,
					const uint32_t *candidates,
					uint32_t count))
{
	struct baseline *baseline = (struct baseline *)policy;
	struct world *world = baseline->world;
	uint32_t candidates[WORLD_MAX_BACKENDS];
	uint32_t count = 0;
	uint32_t i;

	request->node = WORLD_NONE;
	request->shifted = takes_shift(baseline, request);
	if (request->shifted) {
		for (i = 0; i < world->backend_count; i++)
			if (world->backends[i].place == world->shift.to)
				candidates[count++] = i;
	}
	for (i = 0; i < ring_count && !count; i++)
		count = list_within(baseline, request, rings_us[i], candidates);
	if (!count) {
		request->result = RESULT_NO_PLACE;
		request->retry_after_us = 0;
		return false;
	}
	request->backend = pick(baseline, request, candidates, count);
	request->place = world->backends[request->backend].place;
	baseline->entries[request->entry].outstanding[request->backend]++;
	if (!request->tried_count)
		budget_earn(&baseline->entries[request->entry].budget);
	return true;
}

static void arrive(struct policy *policy, struct world_request *request)
{
	struct baseline *baseline = (struct baseline *)policy;

	if (request->shifted)
		world_note_shifted(baseline->world);
	world_start(baseline->world, request, request->backend);
}

static bool ended(struct policy *policy, struct world_request *request,
		  enum gate_outcome outcome)
{
	(void)policy;
	(void)request;
	(void)outcome;
	return false;
}

static void learn(struct policy *policy, struct world_request *request)
{
	struct baseline *baseline = (struct baseline *)policy;
	uint32_t *outstanding =
		&baseline->entries[request->entry].outstanding[request->backend];

	if (*outstanding)
		(*outstanding)--;
}

static bool may_retry(struct policy *policy, uint32_t entry)
{
	struct baseline *baseline = (struct baseline *)policy;

	return budget_spend(&baseline->entries[entry].budget);
}

static void tick(struct policy *policy)
{
	struct baseline *baseline = (struct baseline *)policy;
	struct world *world = baseline->world;
	uint32_t i;

	if (world->now_us <
	    baseline->reported_us + LOAD_POLL_US + world->report_lag_us)
		return;
	baseline->reported_us = world->now_us;
	for (i = 0; i < world->backend_count; i++)
		baseline->reported[i] = world_reported(world, i);
}

static void node_reset(struct policy *policy, uint32_t node)
{
	struct baseline *baseline = (struct baseline *)policy;

	memset(baseline->entries[node].outstanding, 0,
	       sizeof(baseline->entries[node].outstanding));
}

static void changed(struct policy *policy)
{
	(void)policy;
}

static void timer(struct policy *policy, uint32_t node)
{
	(void)policy;
	(void)node;
}

static uint32_t pick_in_turn(struct baseline *baseline,
			     const struct world_request *request,
			     const uint32_t *candidates, uint32_t count)
{
	uint32_t place = baseline->world->backends[candidates[0]].place;
	uint32_t *turn = &baseline->entries[request->entry].turn[place];

	return candidates[(*turn)++ % count];
}

static uint32_t pick_least_reported(struct baseline *baseline,
				    const struct world_request *request,
				    const uint32_t *candidates, uint32_t count)
{
	uint32_t start = request->draw % count;
	uint32_t best = candidates[start];
	uint32_t i;
	uint32_t each;

	for (i = 1; i < count; i++) {
		each = candidates[(start + i) % count];
		if (baseline->reported[each] < baseline->reported[best])
			best = each;
	}
	return best;
}

static uint32_t pick_of_two(struct baseline *baseline,
			    const struct world_request *request,
			    const uint32_t *candidates, uint32_t count)
{
	const uint32_t *outstanding =
		baseline->entries[request->entry].outstanding;
	GRand *rand = baseline->world->decisions;
	uint32_t one = candidates[g_rand_int_range(rand, 0, (gint32)count)];
	uint32_t other = candidates[g_rand_int_range(rand, 0, (gint32)count)];

	return outstanding[other] < outstanding[one] ? other : one;
}

/* Own place, then the region, then anywhere. */
static const uint64_t nearest_rings_us[] = { 100, MS, UINT64_MAX };
static const uint64_t region_rings_us[] = { MS, UINT64_MAX };

static bool route_nearest(struct policy *policy, struct world_request *request)
{
	return route_with(policy, request, nearest_rings_us, 3, pick_in_turn);
}

static bool route_least(struct policy *policy, struct world_request *request)
{
	return route_with(policy, request, region_rings_us, 2,
			  pick_least_reported);
}

static bool route_two(struct policy *policy, struct world_request *request)
{
	return route_with(policy, request, region_rings_us, 2, pick_of_two);
}

static struct policy *open_nearest(struct world *world)
{
	return open_with(world, &nearest_round_robin);
}

static struct policy *open_least(struct world *world)
{
	return open_with(world, &least_reported_load);
}

static struct policy *open_two(struct world *world)
{
	return open_with(world, &two_random_choices);
}

#define BASELINE(policy_name, open_policy, route_policy)                      \
	{                                                                     \
		.name = (policy_name), .open = (open_policy),                 \
		.close = close_baseline, .route = (route_policy),             \
		.arrive = arrive, .ended = ended, .learn = learn,             \
		.may_retry = may_retry, .tick = tick,                         \
		.node_reset = node_reset, .changed = changed, .timer = timer, \
	}

const struct policy_vtable nearest_round_robin =
	BASELINE("nearest", open_nearest, route_nearest);
const struct policy_vtable least_reported_load =
	BASELINE("least-load", open_least, route_least);
const struct policy_vtable two_random_choices =
	BASELINE("two-choices", open_two, route_two);
