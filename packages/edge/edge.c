#include "edge/edge.h"

#include "edge/accounts.h"
#include "edge/capacity_watch.h"
#include "edge/hops.h"

#include <http_parser.h>
#include <string.h>

/* Idle connections kept per backend server. */
#define MAX_IDLE 4

static void refusal_free(gpointer data)
{
	struct refusal *refusal = data;

	g_free(refusal->cause);
	g_free(refusal);
}

void edge_init(struct edge *edge, uv_loop_t *loop, const struct clock *clock,
	       const struct dialect *dialect, const struct registry *registry,
	       const struct edge_settings *settings)
{
	const struct message_limits answers = { ANSWER_HEAD_MAX_BYTES,
						ANSWER_BODY_MAX_BYTES };

	memset(edge, 0, sizeof(*edge));
	/*
	 * The parser's default limit, 80 KB, is below the largest limit an
	 * operator may set: it rejected heads that the settings allowed.
	 */
	http_parser_set_max_header_size(REQUEST_HEAD_MAX_BYTES);
	edge->loop = loop;
	edge->clock = clock;
	edge->dialect = dialect;
	edge->registry = registry;
	edge->settings = *settings;
	edge->began_us = clock_now_us(clock);
	edge->backends = backend_table_new();
	edge->members = member_table_new(settings->name);
	g_free(edge->members->self->domain);
	g_free(edge->members->self->region);
	edge->members->self->domain = g_strdup(settings->domain);
	edge->members->self->region = g_strdup(settings->region);
	edge->members->self->front = settings->front;
	edge->members->self->peer = settings->peer;
	edge->members->self->link_mbps = (uint32_t)settings->link_mbps;
	warmth_init(&edge->warmth);
	edge->suspects = suspect_table_new();
	chooser_init(&edge->chooser, edge->backends, edge->members,
		     &edge->warmth, edge->settings.domain,
		     edge->settings.region);
	edge->chooser.suspects = edge->suspects;
	edge->budgets =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	edge->refusals = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       refusal_free);
	byte_budget_init(&edge->bytes, settings->held_bytes);
	pool_init(&edge->pool, loop, clock, &answers, MAX_IDLE, &edge->bytes);
	g_queue_init(&edge->callers);
	edge->hops = hops_new(edge);
	edge->accounts = accounts_new(edge);
	edge->capacity = capacity_watch_new();
}

void edge_release(struct edge *edge)
{
	pool_release(&edge->pool);
	hops_free(edge->hops);
	accounts_free(edge->accounts);
	capacity_watch_free(edge->capacity);
	chooser_release(&edge->chooser);
	warmth_release(&edge->warmth);
	suspect_table_free(edge->suspects);
	g_hash_table_destroy(edge->budgets);
	g_hash_table_destroy(edge->refusals);
	backend_table_free(edge->backends);
	member_table_free(edge->members);
	route_table_unref(edge->routes);
	g_free(edge->routes_error);
}

/* Limits until the first configuration is loaded. */
static const struct route_limits initial_limits = {
	.max_header_bytes = 16 * 1024,
	.max_body_bytes = 1024 * 1024,
	.header_timeout_us = 3 * US_PER_S,
	.idle_timeout_us = 15 * US_PER_S,
};

const struct route_limits *edge_limits(const struct edge *edge)
{
	return edge->routes ? &edge->routes->limits : &initial_limits;
}

bool edge_is_ready(const struct edge *edge)
{
	return edge->routes && edge->backends->loaded && !edge->stop.begun;
}

void edge_record_refusal(struct edge *edge, const char *cause, uint16_t status,
			 const char *request_id)
{
	struct refusal *refusal = g_hash_table_lookup(edge->refusals, cause);

	if (!refusal) {
		refusal = g_new0(struct refusal, 1);
		refusal->cause = g_strdup(cause);
		g_hash_table_insert(edge->refusals, refusal->cause, refusal);
	}
	refusal->status = status;
	refusal->count++;
	refusal->last_us = edge_now_us(edge);
	g_strlcpy(refusal->last_request_id, request_id,
		  sizeof(refusal->last_request_id));
}

struct extra_budget *edge_budget(struct edge *edge, const char *service)
{
	struct extra_budget *budget =
		g_hash_table_lookup(edge->budgets, service);

	if (!budget) {
		budget = g_new0(struct extra_budget, 1);
		g_hash_table_insert(edge->budgets, g_strdup(service), budget);
	}
	return budget;
}

bool edge_take_extra(struct edge *edge, const char *service)
{
	/*
	 * The allowance is shared by all nodes. A node that knows few or no
	 * other members, as after its start or if it can't read their table,
	 * must not use all of it alone.
	 */
	uint32_t nodes = MAX(member_table_count(edge->members),
			     edge->settings.min_nodes_assumed);

	return extra_budget_take(edge_budget(edge, service),
				 &edge->settings.extra_requests, nodes,
				 edge_now_us(edge));
}
