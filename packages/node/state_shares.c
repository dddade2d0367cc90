#include "node/state_parts.h"

#include <string.h>

#include "core/result.h"

/* A node that was silent for longer runs nothing any more; see settle(). */
#define SHARER_SILENT_US (10 * 1000 * 1000ull)

/*
 * This node's rank among the nodes that share its place's slots: the listed
 * ones that aren't drained. False where it isn't one of them.
 */
static bool find_rank(const struct snapshot *snapshot, uint32_t *rank,
		      uint32_t *count)
{
	const struct config *config = snapshot->config;
	bool found = false;
	uint32_t i;

	*rank = 0;
	*count = 0;
	for (i = 0; i < config->node_count; i++) {
		if (config->nodes[i].place != snapshot->own_place ||
		    config->nodes[i].drained)
			continue;
		if (i == snapshot->own_node) {
			*rank = *count;
			found = true;
		}
		(*count)++;
	}
	return found;
}

bool state_backend_leaving(struct node *node, const struct config *config,
			   const struct config_backend *backend)
{
	return backend->drained || config->places[backend->place].drained ||
	       state_vm(node, backend->address) == VM_LEAVING;
}

/* Leaving is the OR of every sign that can be had; each may come first. */
static bool backend_is_leaving(struct node *node, const struct config *config,
			       const struct config_backend *backend,
			       uint64_t now_us)
{
	return state_backend_leaving(node, config, backend) ||
	       view_backend_leaving(node->view, backend->name, now_us);
}

static bool was_known(const struct snapshot *before, const char *backend)
{
	return !before ||
	       config_find_backend(before->config, backend) != CONFIG_NONE;
}

void state_set_backends(struct node *node, const struct snapshot *snapshot,
			const struct snapshot *before, uint32_t index,
			uint64_t now_us)
{
	const struct config *config = snapshot->config;
	struct service *service = snapshot->services[index];
	struct gate_backend_spec *specs;
	uint32_t count = 0;
	uint32_t i;

	specs = g_new0(struct gate_backend_spec, config->backend_count + 1);
	/* A node that isn't listed knows no backend servers. */
	for (i = 0;
	     snapshot->own_node != CONFIG_NONE && i < config->backend_count;
	     i++) {
		const struct config_backend *backend = &config->backends[i];
		struct gate_backend_spec *spec = &specs[count];

		if (backend->service != index ||
		    backend->place != snapshot->own_place)
			continue;
		spec->name = backend->name;
		spec->slots = share_table_slots(node->shares, backend->name);
		spec->total_slots = backend->slots;
		spec->leaving =
			backend_is_leaving(node, config, backend, now_us);
		spec->cold = !was_known(before, backend->name);
		count++;
	}
	pthread_mutex_lock(&service->gate_lock);
	gate_set_backends(service->gate, specs, count, now_us);
	pthread_mutex_unlock(&service->gate_lock);
	g_free(specs);
}

void state_refresh_backends(struct node *node)
{
	struct snapshot *snapshot;
	uint32_t i;

	/* Not against the next version's numbers, should it come meanwhile. */
	pthread_mutex_lock(&node->apply_lock);
	snapshot = snapshot_get(node);
	for (i = 0; snapshot && i < snapshot->config->service_count; i++)
		state_set_backends(node, snapshot, snapshot, i,
				   state_now_us(node));
	snapshot_put(snapshot);
	pthread_mutex_unlock(&node->apply_lock);
}

/* Every node that may use slots of the place: present and former ones. */
static void add_sharers(struct node *node, const struct snapshot *snapshot)
{
	const struct config *config = snapshot->config;
	uint32_t i;

	for (i = 0; i < config->node_count; i++) {
		const char *name = config->nodes[i].name;

		if (config->nodes[i].place != snapshot->own_place ||
		    i == snapshot->own_node ||
		    g_ptr_array_find_with_equal_func(node->sharers, name,
						     g_str_equal, NULL))
			continue;
		g_ptr_array_add(node->sharers, g_strdup(name));
	}
}

void state_change_shares(struct node *node, const struct snapshot *snapshot)
{
	const struct config *config = snapshot->config;
	struct share_target *targets;
	uint32_t rank, nodes, i;
	uint32_t count = 0;
	bool shares = find_rank(snapshot, &rank, &nodes);

	targets = g_new0(struct share_target, config->backend_count + 1);
	for (i = 0; shares && i < config->backend_count; i++) {
		const struct config_backend *backend = &config->backends[i];

		if (backend->place != snapshot->own_place)
			continue;
		targets[count].backend = backend->name;
		targets[count].slots = gate_share(backend->slots, rank, nodes);
		count++;
	}
	share_table_apply_version(node->shares, config->version, targets,
				  count);
	node->shares_since_us = state_now_us(node);
	add_sharers(node, snapshot);
	g_free(targets);
}

/*
 * Whether the other node keeps to the shares of the present version. One that
 * is silent may be dead or cut off. It is waited for as long as a report may
 * be late; then it is taken to be gone, so that its place goes on with what it
 * can. A cut within one failure domain, at the moment of a change of its nodes
 * or slots, can so make the sum exceed the slots until the cut heals.
 *
 * Only a node that answered a call of ours counts, since it has our present
 * incarnation's report. One that hasn't may still go by what our former life
 * declared: restarted with an older version from a lagging peer, this node
 * would take its larger share of that one while the other has grown already.
 */
static bool sharer_is_ready(struct node *node, const char *name,
			    uint64_t now_us)
{
	struct view_node known;

	if (view_find(node->view, name, now_us, &known) &&
	    known.age_us < SHARER_SILENT_US)
		return known.answered &&
		       known.shares_version ==
			       share_table_version(node->shares);
	return now_us - node->shares_since_us >= SHARER_SILENT_US;
}

static bool all_sharers_are_ready(struct node *node)
{
	uint64_t now_us = state_now_us(node);
	guint i;

	for (i = 0; i < node->sharers->len; i++)
		if (!sharer_is_ready(node, g_ptr_array_index(node->sharers, i),
				     now_us))
			return false;
	return true;
}

void state_refresh_shares(struct node *node)
{
	struct snapshot *snapshot;
	uint32_t i;

	pthread_mutex_lock(&node->apply_lock);
	snapshot = snapshot_get(node);
	if (snapshot && !share_table_is_settled(node->shares) &&
	    all_sharers_are_ready(node)) {
		share_table_settle(node->shares, snapshot->config->version);
		g_ptr_array_set_size(node->sharers, 0);
		add_sharers(node, snapshot);
		for (i = 0; i < snapshot->config->service_count; i++)
			state_set_backends(node, snapshot, snapshot, i,
					   state_now_us(node));
	}
	snapshot_put(snapshot);
	pthread_mutex_unlock(&node->apply_lock);
}

bool state_shares_are_settled(struct node *node)
{
	bool settled;

	pthread_mutex_lock(&node->apply_lock);
	settled = share_table_is_settled(node->shares) ||
		  !share_table_version(node->shares);
	pthread_mutex_unlock(&node->apply_lock);
	return settled;
}

/* Whether a gate has more in flight somewhere than its share. */
static bool is_over(struct node *node, struct service *service)
{
	struct gate_backend_view view;
	bool over = false;
	uint32_t i;

	pthread_mutex_lock(&service->gate_lock);
	for (i = 0;
	     !over && gate_view(service->gate, i, state_now_us(node), &view);
	     i++)
		over = view.in_flight >
		       share_table_slots(node->shares, view.name);
	pthread_mutex_unlock(&service->gate_lock);
	return over;
}

uint64_t state_declared_version(struct node *node)
{
	uint64_t version;
	GHashTableIter iter;
	gpointer service;

	pthread_mutex_lock(&node->apply_lock);
	version = share_table_version(node->shares);
	g_hash_table_iter_init(&iter, node->services);
	while (version && g_hash_table_iter_next(&iter, NULL, &service))
		if (is_over(node, service))
			version = 0;
	pthread_mutex_unlock(&node->apply_lock);
	return version;
}
