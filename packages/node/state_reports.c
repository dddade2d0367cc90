#include "node/state_parts.h"

#include <string.h>
#include <urcu-bp.h>

static uint32_t slots_at(const struct config *config, uint32_t service,
			 uint32_t place)
{
	uint32_t slots = 0;
	uint32_t i;

	for (i = 0; i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->service == service && backend->place == place &&
		    !backend->drained)
			slots += backend->slots;
	}
	return slots;
}

static uint32_t nodes_in_region(const struct config *config, const char *region)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		uint32_t place = config->nodes[i].place;

		if (!strcmp(config->places[place].region, region))
			count++;
	}
	return count;
}

/* Number from 1 of the place's region, so that its places share a link. */
static uint32_t region_number(const struct config *config, uint32_t place)
{
	uint32_t i = 0;

	while (strcmp(config->places[i].region, config->places[place].region) !=
	       0)
		i++;
	return i + 1;
}

/*
 * Every entry node of a region has the same part of the link's limit, and each
 * service the same part of that, so that the sum never exceeds it.
 */
static uint32_t link_part(const struct config *config, uint32_t from,
			  uint32_t to)
{
	uint32_t limit = config_link_limit_per_s(config, from, to);
	uint32_t nodes = nodes_in_region(config, config->places[from].region);

	if (!limit || !nodes)
		return 0;
	return MAX(limit / (nodes * config->service_count), 1);
}

static void set_places(const struct snapshot *snapshot, uint32_t index,
		       uint64_t now_us)
{
	const struct config *config = snapshot->config;
	struct service *service = snapshot->services[index];
	struct steer_place_spec *specs;
	uint32_t own = snapshot->own_place;
	uint32_t count = 0;
	uint32_t i;

	specs = g_new0(struct steer_place_spec, config->place_count + 1);
	for (i = 0; i < config->place_count; i++) {
		uint32_t slots = slots_at(config, index, i);

		if (!slots)
			continue;
		specs[count].name = config->places[i].name;
		specs[count].place = i;
		specs[count].slots = slots;
		specs[count].drained = config->places[i].drained;
		if (own != CONFIG_NONE) {
			specs[count].one_way_us =
				config_one_way_us(config, own, i);
			specs[count].link_limit_per_s =
				link_part(config, own, i);
			specs[count].link = region_number(config, i);
		}
		count++;
	}
	steer_set_places(service->steer, specs, count, now_us);
	g_free(specs);
}

static void set_shifts(const struct snapshot *snapshot, uint32_t index,
		       uint64_t now_us)
{
	const struct config *config = snapshot->config;
	struct service *service = snapshot->services[index];
	struct steer_shift_spec *specs;
	uint32_t count = 0;
	uint32_t i;

	specs = g_new0(struct steer_shift_spec, config->shift_count + 1);
	for (i = 0; i < config->shift_count; i++) {
		const struct config_shift *shift = &config->shifts[i];

		if (shift->service != index)
			continue;
		specs[count].id = shift->id;
		specs[count].from = shift->from;
		specs[count].to = shift->to;
		specs[count].share_permille = shift->share_permille;
		specs[count].cap_per_s = shift->cap_per_s;
		count++;
	}
	steer_set_shifts(service->steer, specs, count, now_us);
	g_free(specs);
}

void state_set_steer(const struct snapshot *snapshot, uint32_t index,
		     uint64_t now_us)
{
	struct service *service = snapshot->services[index];

	pthread_mutex_lock(&service->steer_lock);
	set_places(snapshot, index, now_us);
	set_shifts(snapshot, index, now_us);
	service->steer_version = snapshot->config->version;
	pthread_mutex_unlock(&service->steer_lock);
}

/* The place's report: its usable nodes' summaries added up. */
struct place_sum {
	struct gate_summary total;
	uint64_t service_weighted;
	uint64_t wait_weighted;
	uint64_t weight;
	uint64_t age_us;
	uint32_t nodes;
};

static void add_summary(struct place_sum *sum,
			const struct gate_summary *summary, uint64_t age_us)
{
	uint64_t weight = summary->slots;

	sum->total.slots += summary->slots;
	sum->total.in_flight += summary->in_flight;
	sum->total.waiting += summary->waiting;
	sum->service_weighted += weight * summary->service_us;
	sum->wait_weighted += weight * summary->wait_us;
	sum->weight += weight;
	/*
	 * The least: a node that falls silent is left out after a while, and
	 * until then must not make its whole place look old.
	 */
	sum->age_us = sum->nodes ? MIN(sum->age_us, age_us) : age_us;
	sum->nodes++;
}

static void add_node(struct node *node, const struct snapshot *snapshot,
		     uint32_t service, uint32_t index, struct place_sum *sum)
{
	struct service *tables = snapshot->services[service];
	uint64_t now_us = state_now_us(node);
	struct gate_summary summary;
	uint64_t age_us = 0;

	if (index == snapshot->own_node) {
		pthread_mutex_lock(&tables->gate_lock);
		gate_summarise(tables->gate, now_us, &summary);
		pthread_mutex_unlock(&tables->gate_lock);
	} else if (!view_summary(node->view,
				 snapshot->config->nodes[index].name,
				 tables->name, now_us, &summary, &age_us)) {
		return;
	}
	add_summary(sum, &summary, age_us);
}

static void report_places(struct node *node, const struct snapshot *snapshot,
			  uint32_t service)
{
	const struct config *config = snapshot->config;
	struct service *tables = snapshot->services[service];
	struct place_sum *sums = g_new0(struct place_sum, config->place_count);
	uint32_t i;

	for (i = 0; i < config->node_count; i++)
		add_node(node, snapshot, service, i,
			 &sums[config->nodes[i].place]);
	pthread_mutex_lock(&tables->steer_lock);
	for (i = 0; i < config->place_count; i++) {
		struct place_sum *sum = &sums[i];

		if (!sum->nodes || tables->steer_version != config->version)
			continue;
		/* Nodes without slots have no times to say. */
		sum->total.service_us =
			sum->service_weighted / MAX(sum->weight, 1);
		sum->total.wait_us = sum->weight ?
					     sum->wait_weighted / sum->weight :
					     UINT32_MAX;
		steer_report(tables->steer, i, &sum->total, sum->age_us,
			     state_now_us(node));
	}
	pthread_mutex_unlock(&tables->steer_lock);
	g_free(sums);
}

void state_refresh_places(struct node *node)
{
	struct snapshot *snapshot = snapshot_get(node);
	uint32_t i;

	for (i = 0; snapshot && i < snapshot->config->service_count; i++)
		report_places(node, snapshot, i);
	snapshot_put(snapshot);
}

static enum lookup_node_state judge_node(struct node *node,
					 const struct snapshot *snapshot,
					 uint32_t index, uint64_t now_us)
{
	const struct config_node *target = &snapshot->config->nodes[index];
	struct view_node known;

	if (target->drained || state_vm(node, target->address) == VM_LEAVING)
		return LOOKUP_LEAVING;
	if (index == snapshot->own_node)
		return atomic_load(&node->stopping) ? LOOKUP_LEAVING :
						      LOOKUP_ALIVE;
	if (view_find(node->view, target->name, now_us, &known) &&
	    known.leaving)
		return LOOKUP_LEAVING;
	return view_is_usable(node->view, target->name, now_us) ? LOOKUP_ALIVE :
								  LOOKUP_DEAD;
}

static bool same_states(const struct node_states *a,
			const struct node_states *b)
{
	return a && a->version == b->version && a->count == b->count &&
	       !memcmp(a->states, b->states, a->count);
}

void state_refresh_nodes(struct node *node)
{
	struct snapshot *snapshot = snapshot_get(node);
	struct node_states *before = node->states;
	struct node_states *next;
	uint32_t count, i;

	if (!snapshot)
		return;
	count = snapshot->config->node_count;
	next = g_malloc0(sizeof(*next) + count);
	next->version = snapshot->config->version;
	next->count = count;
	for (i = 0; i < count; i++)
		next->states[i] = (uint8_t)judge_node(node, snapshot, i,
						      state_now_us(node));
	snapshot_put(snapshot);
	if (same_states(before, next)) {
		g_free(next);
		return;
	}
	rcu_assign_pointer(node->states, next);
	synchronize_rcu();
	g_free(before);
}
