#include "node/lookup.h"

#include <string.h>
#include <urcu-bp.h>

static uint32_t find_home(const struct snapshot *snapshot, const char *from,
			  uint32_t address)
{
	uint32_t home = CONFIG_NONE;

	if (from)
		home = config_find_place(snapshot->config, from);
	if (home == CONFIG_NONE)
		home = config_place_of_address(snapshot->config, address);
	return home == CONFIG_NONE ? snapshot->own_place : home;
}

static uint32_t order(struct node *node, const struct snapshot *snapshot,
		      uint32_t home, uint32_t *nodes)
{
	const struct node_states *states;
	uint32_t count;

	rcu_read_lock();
	states = rcu_dereference(node->states);
	/* Those of another version count other nodes; then all are alive. */
	if (states && states->version != snapshot->config->version)
		states = NULL;
	count = lookup_order(snapshot->lookup, home,
			     states ? states->states : NULL, state_draw(),
			     nodes, LOOKUP_MOST_NODES);
	rcu_read_unlock();
	return count;
}

/* A ticket that runs at the node; false where its incarnation isn't known. */
static bool make_ticket(struct node *node, const struct snapshot *snapshot,
			uint32_t index, char *text)
{
	struct ticket ticket = { .issuer = node->incarnation };
	const char *name = snapshot->config->nodes[index].name;
	struct view_node known;

	if (index == snapshot->own_node) {
		ticket.incarnation = node->incarnation;
		ticket.epoch = state_ticket_epoch(node);
	} else {
		if (!view_find(node->view, name, state_now_us(node), &known))
			return false;
		ticket.incarnation = known.incarnation;
		ticket.epoch = known.ticket_epoch;
	}
	g_strlcpy(ticket.node, name, NAME_SIZE);
	ticket.sequence = atomic_fetch_add(&node->tickets_issued, 1);
	ticket_format(&ticket, text);
	return true;
}

static char *format_answer(struct node *node, const struct snapshot *snapshot,
			   const struct config_service *service,
			   const uint32_t *nodes, uint32_t count)
{
	GString *json = g_string_new("{\"nodes\":[");
	char ticket[ID_SIZE];
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (i)
			g_string_append_c(json, ',');
		g_string_append(json, snapshot->node_texts[nodes[i]]);
	}
	g_string_append_printf(json, "],\"ttl_us\":%" G_GUINT64_FORMAT,
			       node->settings->lookup_ttl_us);
	if (count && service->class_of == SERVICE_NON_IDEMPOTENT &&
	    make_ticket(node, snapshot, nodes[0], ticket))
		g_string_append_printf(json, ",\"ticket\":\"%s\"", ticket);
	g_string_append_c(json, '}');
	return g_string_free(json, FALSE);
}

enum result lookup_answer(struct node *node, const char *service,
			  const char *from, uint32_t address, char **json)
{
	struct snapshot *snapshot = snapshot_get(node);
	uint32_t nodes[LOOKUP_MOST_NODES];
	uint32_t index, count;

	if (!snapshot)
		return RESULT_NO_CONFIG;
	index = config_find_service(snapshot->config, service);
	if (index == CONFIG_NONE) {
		snapshot_put(snapshot);
		return RESULT_UNKNOWN_SERVICE;
	}
	count = order(node, snapshot, find_home(snapshot, from, address),
		      nodes);
	*json = format_answer(node, snapshot,
			      &snapshot->config->services[index], nodes, count);
	snapshot_put(snapshot);
	return RESULT_OK;
}
