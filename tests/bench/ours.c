/*
 * The product's decision code as its nodes use it: steer and budget at the
 * entry node, gate and seat at the place's node.
 */
#include "bench/world.h"

#include <string.h>

#include "core/budget.h"
#include "core/gate.h"
#include "core/result.h"
#include "core/seat.h"
#include "core/steer.h"

#define RETRY_PERMILLE 100
#define RETRY_BURST 20
#define MOST_LOCAL_TRIES 2
#define REMOTE_REPORT_US (200 * MS)
#define PROBE_US (500 * MS)
#define SEATS_US (250 * MS)
/* A change of the configuration reaches all nodes within this. */
#define CONFIG_LAG_US (500 * MS)
#define VIEW_MAX_AGE_US (3 * SECOND)
#define SHIFT_RETRY_AFTER_US SECOND

struct ours_node {
	struct steer *steer;
	struct gate *gate;
	struct budget budget;
	struct seat *seat; /* its own of the shift, at the receiving place */
	GHashTable *waiting; /* requests in the gate's queue */
	uint64_t resets;
	/* What this node heard of each node. */
	struct gate_summary heard[WORLD_MAX_NODES];
	uint64_t heard_made_us[WORLD_MAX_NODES];
	bool has_heard[WORLD_MAX_NODES];
	uint64_t changed_us; /* configuration takes effect here */
	uint64_t probed_us;
	uint64_t seats_us;
	struct gate_summary said;
	uint64_t said_us;
};

struct seat_row {
	uint64_t version;
	char value[ID_SIZE];
};

struct ours_policy {
	struct policy policy; /* first */
	struct world *world;
	struct ours_node nodes[WORLD_MAX_NODES];
	struct seat_row rows[WORLD_MAX_NODES]; /* by rank */
	uint64_t generation; /* unique holders */
	char names[WORLD_MAX_BACKENDS][16];
	char place_names[WORLD_PLACES][8];
};

static struct ours_policy *ours_of(struct policy *policy)
{
	return (struct ours_policy *)policy;
}

static void set_places(struct ours_policy *ours_policy, uint32_t index)
{
	struct world *world = ours_policy->world;
	struct steer_place_spec specs[WORLD_PLACES];
	uint32_t own = world->nodes[index].place;
	uint32_t entries = 0;
	uint32_t i;

	for (i = 0; i < world->node_count; i++)
		entries += world_region(world->nodes[i].place) ==
			   world_region(own);
	memset(specs, 0, sizeof(specs));
	for (i = 0; i < WORLD_PLACES; i++) {
		specs[i].name = ours_policy->place_names[i];
		specs[i].place = i;
		specs[i].one_way_us = world_one_way_us(world, own, i);
		if (world_region(i) == world_region(own))
			continue;
		specs[i].link = world_region(i) + 1;
		specs[i].link_limit_per_s =
			world->run->link_limit_per_s / MAX(entries, 1);
	}
	for (i = 0; i < world->backend_count; i++)
		specs[world->backends[i].place].slots +=
			world->backends[i].slots;
	steer_set_places(ours_policy->nodes[index].steer, specs, WORLD_PLACES,
			 world->now_us);
}

static void set_shift(struct ours_policy *ours_policy, uint32_t index)
{
	struct world *world = ours_policy->world;
	struct world_node *place = &world->nodes[index];
	struct ours_node *node = &ours_policy->nodes[index];
	struct steer_shift_spec spec = { "shift", world->shift.from,
					 world->shift.to,
					 world->shift.share_permille,
					 world->shift.cap_per_s };
	char holder[32];

	steer_set_shifts(node->steer, &spec, world->shift.on ? 1 : 0,
			 world->now_us);
	if (!world->shift.on || place->place != world->shift.to || node->seat)
		return;
	g_snprintf(holder, sizeof(holder), "n%u/%" G_GUINT64_FORMAT, index,
		   ours_policy->generation++);
	node->seat = seat_new(holder, seat_part(world->shift.cap_per_s,
						place->rank, place->count));
}

static void set_backends(struct ours_policy *ours_policy, uint32_t index)
{
	struct world *world = ours_policy->world;
	struct world_node *node = &world->nodes[index];
	struct gate_backend_spec specs[WORLD_MAX_BACKENDS];
	uint32_t count = 0;
	uint32_t i;

	memset(specs, 0, sizeof(specs));
	for (i = 0; i < world->backend_count; i++) {
		if (world->backends[i].place != node->place)
			continue;
		specs[count].name = ours_policy->names[i];
		specs[count].slots = gate_share(
			world->backends[i].slots,
			(node->rank + i / WORLD_PLACES) % node->count,
			node->count);
		specs[count].total_slots = world->backends[i].slots;
		specs[count].leaving = world->backends[i].leaving;
		count++;
	}
	gate_set_backends(ours_policy->nodes[index].gate, specs, count,
			  world->now_us);
}

static void configure(struct ours_policy *ours_policy, uint32_t index)
{
	set_places(ours_policy, index);
	set_shift(ours_policy, index);
	set_backends(ours_policy, index);
}

static void init_node(struct ours_policy *ours_policy, uint32_t index)
{
	struct ours_node *node = &ours_policy->nodes[index];

	node->steer = steer_new();
	node->gate = gate_new();
	node->waiting = g_hash_table_new(NULL, NULL);
	budget_init(&node->budget, RETRY_PERMILLE, RETRY_BURST);
	configure(ours_policy, index);
}

static void free_waiting(struct ours_node *node)
{
	GHashTableIter iter;
	void *request;

	g_hash_table_iter_init(&iter, node->waiting);
	while (g_hash_table_iter_next(&iter, &request, NULL))
		g_free(request);
}

static void release_node(struct ours_node *node)
{
	steer_free(node->steer);
	gate_free(node->gate);
	g_hash_table_destroy(node->waiting);
	seat_free(node->seat);
	node->seat = NULL;
}

static struct policy *open_ours(struct world *world)
{
	struct ours_policy *ours_policy = g_new0(struct ours_policy, 1);
	uint32_t i;

	ours_policy->policy.vtable = &ours;
	ours_policy->world = world;
	for (i = 0; i < world->backend_count; i++)
		g_snprintf(ours_policy->names[i], sizeof(ours_policy->names[i]),
			   "backend-%u", i);
	for (i = 0; i < WORLD_PLACES; i++)
		g_snprintf(ours_policy->place_names[i],
			   sizeof(ours_policy->place_names[i]), "p%u", i);
	for (i = 0; i < world->node_count; i++)
		init_node(ours_policy, i);
	return &ours_policy->policy;
}

static void close_ours(struct policy *policy)
{
	struct ours_policy *ours_policy = ours_of(policy);
	uint32_t i;

	for (i = 0; i < ours_policy->world->node_count; i++) {
		free_waiting(&ours_policy->nodes[i]);
		release_node(&ours_policy->nodes[i]);
	}
	g_free(ours_policy);
}

/* Spare slots that a node said it has; -1 where nothing fresh is known. */
static int64_t spare_slots(const struct ours_policy *ours_policy,
			   uint32_t entry, uint32_t index)
{
	const struct ours_node *node = &ours_policy->nodes[entry];
	const struct gate_summary *summary = &node->heard[index];

	if (!node->has_heard[index] ||
	    ours_policy->world->now_us >
		    node->heard_made_us[index] + VIEW_MAX_AGE_US)
		return -1;
	return MAX((int64_t)summary->slots - summary->in_flight -
			   summary->waiting,
		   0);
}

static uint32_t draw_node(struct ours_policy *ours_policy, uint32_t entry,
			  uint32_t place, bool with_spare)
{
	struct world *world = ours_policy->world;
	uint32_t found = WORLD_NONE;
	uint64_t total = 0;
	int64_t spare;
	uint32_t i;

	for (i = 0; i < world->node_count; i++) {
		if (world->nodes[i].place != place || i == entry)
			continue;
		spare = spare_slots(ours_policy, entry, i);
		if (spare < 0 || (with_spare && !spare))
			continue;
		total += (uint64_t)spare + 1;
		if (g_rand_int(world->decisions) % total <= (uint64_t)spare)
			found = i;
	}
	return found;
}

static uint32_t any_node(struct ours_policy *ours_policy, uint32_t place)
{
	struct world *world = ours_policy->world;
	uint32_t i;

	for (i = 0; i < world->node_count; i++)
		if (world->nodes[i].place == place)
			return i;
	return WORLD_NONE;
}

static uint32_t node_at(struct ours_policy *ours_policy, uint32_t entry,
			uint32_t place)
{
	struct gate_summary summary;
	uint32_t found;

	if (ours_policy->world->nodes[entry].place == place) {
		gate_summarise(ours_policy->nodes[entry].gate,
			       ours_policy->world->now_us, &summary);
		if (summary.in_flight + summary.waiting < summary.slots)
			return entry;
		found = draw_node(ours_policy, entry, place, true);
		return found == WORLD_NONE ? entry : found;
	}
	found = draw_node(ours_policy, entry, place, false);
	return found == WORLD_NONE ? any_node(ours_policy, place) : found;
}

static bool route_ours(struct policy *policy, struct world_request *request)
{
	struct ours_policy *ours_policy = ours_of(policy);
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[request->entry];
	struct steer_request steer_request = {
		.class_of = world->shape->class_of,
		.home = request->home,
		.deadline_us = request->deadline_us,
		.tried_count = request->tried_count,
		.draw = g_rand_int(world->decisions),
	};
	struct steer_choice choice;

	memcpy(steer_request.tried, request->tried, sizeof(request->tried));
	steer_choose(node->steer, &steer_request, world->now_us, &choice);
	if (choice.place == CONFIG_NONE) {
		if (request->attempts)
			return false; /* the first refusal stands */
		request->result = choice.refusal;
		request->retry_after_us = choice.retry_after_us;
		return false;
	}
	if (!request->attempts)
		budget_earn(&node->budget);
	request->place = choice.place;
	request->shift = choice.shift;
	request->shifted = choice.shift != CONFIG_NONE;
	request->node = node_at(ours_policy, request->entry, choice.place);
	return true;
}

static void start(struct ours_policy *ours_policy, uint32_t index,
		  struct world_request *request, uint32_t handle)
{
	struct ours_node *node = &ours_policy->nodes[index];
	const char *name = gate_backend_name(node->gate, handle);
	uint32_t backend = 0;

	while (strcmp(ours_policy->names[backend], name) != 0)
		backend++;
	request->handle = handle;
	request->resets = node->resets;
	world_start(ours_policy->world, request, backend);
}

static void hand_out_grants(struct ours_policy *ours_policy, uint32_t index)
{
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[index];
	struct world_request *request;
	struct gate_grant grant;

	while (gate_next(node->gate, world->now_us, &grant)) {
		request = grant.waiter;
		g_hash_table_remove(node->waiting, request);
		if (grant.decision.verdict == GATE_RUN) {
			start(ours_policy, index, request,
			      grant.decision.backend);
		} else {
			world_refuse(world, request, grant.decision.refusal,
				     grant.decision.retry_after_us);
		}
	}
	world_set_timer(world, index, gate_next_due_us(node->gate));
}

static void offer(struct ours_policy *ours_policy,
		  struct world_request *request)
{
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[request->node];
	struct gate_request gate_request = { world->shape->class_of,
					     request->deadline_us, request };
	struct gate_decision decision;

	gate_offer(node->gate, &gate_request, world->now_us, &decision);
	switch (decision.verdict) {
	case GATE_RUN:
		start(ours_policy, request->node, request, decision.backend);
		break;
	case GATE_WAIT:
		g_hash_table_add(node->waiting, request);
		hand_out_grants(ours_policy, request->node);
		break;
	case GATE_REFUSE:
		world_refuse(world, request, decision.refusal,
			     decision.retry_after_us);
		break;
	}
}

static void arrive_ours(struct policy *policy, struct world_request *request)
{
	struct ours_policy *ours_policy = ours_of(policy);
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[request->node];

	if (request->shifted) {
		if (!node->seat || !seat_admit(node->seat, world->now_us)) {
			world_refuse(world, request, RESULT_SHIFT_CAP,
				     SHIFT_RETRY_AFTER_US);
			return;
		}
		world_note_shifted(world);
	}
	offer(ours_policy, request);
}

static bool ended_ours(struct policy *policy, struct world_request *request,
		       enum gate_outcome outcome)
{
	struct ours_policy *ours_policy = ours_of(policy);
	struct world *world = ours_policy->world;
	uint32_t index = request->node;
	struct ours_node *node = &ours_policy->nodes[index];
	bool again = (outcome == GATE_SHED || outcome == GATE_CONNECT_FAILED) &&
		     request->local_tries + 1 < MOST_LOCAL_TRIES;

	if (request->resets != node->resets)
		return false;
	gate_finish(node->gate, request->handle, outcome,
		    world->now_us - request->started_us, world->now_us);
	if (again) {
		request->local_tries++;
		offer(ours_policy, request);
	}
	hand_out_grants(ours_policy, index);
	return again;
}

static void learn_ours(struct policy *policy, struct world_request *request)
{
	struct ours_policy *ours_policy = ours_of(policy);
	struct world *world = ours_policy->world;
	struct steer_feedback feedback = {
		.place = request->place,
		.shift = request->shift,
		.result = request->result,
		.latency_us = world->now_us - request->sent_us,
		.retry_after_us = request->retry_after_us,
	};

	steer_learn(ours_policy->nodes[request->entry].steer, &feedback,
		    world->now_us);
}

static bool may_retry_ours(struct policy *policy, uint32_t entry)
{
	return budget_spend(&ours_of(policy)->nodes[entry].budget);
}

/* Each node says anew how it is, as often as its reports aren't held up. */
static void speak(struct ours_policy *ours_policy, uint32_t index)
{
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[index];

	if (node->said_us &&
	    world->now_us < node->said_us + world->report_lag_us)
		return;
	gate_summarise(node->gate, world->now_us, &node->said);
	node->said_us = world->now_us;
}

static void hear(struct ours_policy *ours_policy, uint32_t to, uint32_t from)
{
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[to];
	uint32_t to_place = world->nodes[to].place;
	uint32_t from_place = world->nodes[from].place;
	uint64_t way_us = world_one_way_us(world, to_place, from_place);

	if (world->nodes[from].dead ||
	    !world_linked(world, to_place, from_place))
		return;
	if (world_region(to_place) != world_region(from_place) &&
	    (world->now_us / WORLD_TICK_US + to + from) %
		    (REMOTE_REPORT_US / WORLD_TICK_US))
		return;
	node->heard[from] = ours_policy->nodes[from].said;
	node->heard_made_us[from] = ours_policy->nodes[from].said_us - way_us;
	node->has_heard[from] = true;
}

/* The places' reports as the node adds them up from what it heard. */
static void report_place(struct ours_policy *ours_policy, uint32_t to,
			 uint32_t place)
{
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[to];
	struct gate_summary sum = { 0 };
	uint64_t weight = 0;
	uint64_t made_us = UINT64_MAX;
	uint64_t weighted_service_us = 0;
	uint64_t weighted_wait_us = 0;
	uint32_t i;

	for (i = 0; i < world->node_count; i++) {
		struct gate_summary each = node->heard[i];

		if (world->nodes[i].place != place)
			continue;
		if (i == to)
			gate_summarise(node->gate, world->now_us, &each);
		else if (spare_slots(ours_policy, to, i) < 0)
			continue;
		sum.slots += each.slots;
		sum.in_flight += each.in_flight;
		sum.waiting += each.waiting;
		weighted_service_us += each.service_us * MAX(each.slots, 1);
		weighted_wait_us += each.wait_us * MAX(each.slots, 1);
		weight += MAX(each.slots, 1);
		made_us = MIN(made_us,
			      i == to ? world->now_us : node->heard_made_us[i]);
	}
	if (!weight)
		return;
	sum.service_us = weighted_service_us / weight;
	sum.wait_us = weighted_wait_us / weight;
	steer_report(node->steer, place, &sum, world->now_us - made_us,
		     world->now_us);
}

static void probe(struct ours_policy *ours_policy, uint32_t index)
{
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[index];
	const struct world_backend *server;
	uint32_t i;

	if (world->now_us < node->probed_us + PROBE_US)
		return;
	node->probed_us = world->now_us;
	for (i = 0; i < world->backend_count; i++) {
		server = &world->backends[i];
		if (server->place != world->nodes[index].place)
			continue;
		gate_probe(node->gate, ours_policy->names[i], !server->dead,
			   world->now_us);
		if (!server->dead)
			gate_report(node->gate, ours_policy->names[i],
				    world_reported(world, i), server->leaving,
				    world->now_us);
	}
	hand_out_grants(ours_policy, index);
}

static void write_row(struct ours_policy *ours_policy, struct seat *seat,
		      struct seat_row *row, const struct seat_step *step)
{
	uint64_t now_us = ours_policy->world->now_us;

	if (row->version != step->expected_version) {
		seat_wrote(seat, 0, now_us, now_us);
		return;
	}
	row->version++;
	g_strlcpy(row->value, step->value, sizeof(row->value));
	seat_wrote(seat, row->version, now_us, now_us);
}

static void keep_seat(struct ours_policy *ours_policy, uint32_t index)
{
	struct world *world = ours_policy->world;
	struct ours_node *node = &ours_policy->nodes[index];
	struct seat_row *row = &ours_policy->rows[world->nodes[index].rank];
	struct seat_step step;

	if (!node->seat || world->now_us < node->seats_us + SEATS_US)
		return;
	node->seats_us = world->now_us;
	seat_next_step(node->seat, true, world->now_us, &step);
	if (step.action == SEAT_IDLE)
		return;
	if (world->platform_down) {
		if (step.action == SEAT_WRITE)
			seat_wrote(node->seat, 0, world->now_us, world->now_us);
		return;
	}
	if (step.action == SEAT_READ)
		seat_saw_row(node->seat, row->version,
			     row->version ? row->value : NULL, world->now_us);
	else
		write_row(ours_policy, node->seat, row, &step);
}

static void tick_ours(struct policy *policy)
{
	struct ours_policy *ours_policy = ours_of(policy);
	struct world *world = ours_policy->world;
	struct ours_node *node;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < world->node_count; i++)
		if (!world->nodes[i].dead)
			speak(ours_policy, i);
	for (i = 0; i < world->node_count; i++) {
		if (world->nodes[i].dead)
			continue;
		node = &ours_policy->nodes[i];
		if (node->changed_us && world->now_us >= node->changed_us) {
			node->changed_us = 0;
			configure(ours_policy, i);
			hand_out_grants(ours_policy, i);
		}
		for (j = 0; j < world->node_count; j++)
			if (j != i)
				hear(ours_policy, i, j);
		for (j = 0; j < WORLD_PLACES; j++)
			report_place(ours_policy, i, j);
		probe(ours_policy, i);
		keep_seat(ours_policy, i);
	}
}

/* All that it held in memory is gone; those who waited there hear nothing. */
static void reset_ours(struct policy *policy, uint32_t index)
{
	struct ours_policy *ours_policy = ours_of(policy);
	struct ours_node *node = &ours_policy->nodes[index];
	uint64_t resets = node->resets + 1;
	GHashTableIter iter;
	void *request;

	g_hash_table_iter_init(&iter, node->waiting);
	while (g_hash_table_iter_next(&iter, &request, NULL))
		world_refuse(ours_policy->world, request,
			     RESULT_OUTCOME_UNKNOWN, 0);
	release_node(node);
	memset(node, 0, sizeof(*node));
	node->resets = resets;
	init_node(ours_policy, index);
}

static void changed_ours(struct policy *policy)
{
	struct ours_policy *ours_policy = ours_of(policy);
	struct world *world = ours_policy->world;
	uint32_t i;

	for (i = 0; i < world->node_count; i++)
		ours_policy->nodes[i].changed_us =
			world->now_us + 1 +
			CONFIG_LAG_US * i / world->node_count;
}

static void timer_ours(struct policy *policy, uint32_t index)
{
	struct ours_policy *ours_policy = ours_of(policy);

	if (!ours_policy->world->nodes[index].dead)
		hand_out_grants(ours_policy, index);
}

const struct policy_vtable ours = {
	.name = "ours",
	.open = open_ours,
	.close = close_ours,
	.route = route_ours,
	.arrive = arrive_ours,
	.ended = ended_ours,
	.learn = learn_ours,
	.may_retry = may_retry_ours,
	.tick = tick_ours,
	.node_reset = reset_ours,
	.changed = changed_ours,
	.timer = timer_ours,
};
