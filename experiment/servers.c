#include <string.h>

#include "core/duration.h"
#include "experiment/fleet_parts.h"

static void start_next(struct server *server);

static void cache_add(struct server *server, uint32_t object)
{
	const struct plan *plan = server->fleet->plan;
	gpointer key = GUINT_TO_POINTER(object + 1);
	GList *link = g_hash_table_lookup(server->cached, key);

	if (link)
		g_queue_delete_link(&server->cache, link);
	g_queue_push_head(&server->cache, key);
	g_hash_table_insert(server->cached, key, server->cache.head);
	if (g_queue_get_length(&server->cache) > plan->keeps)
		g_hash_table_remove(server->cached,
				    g_queue_pop_tail(&server->cache));
}

static bool has_cached(const struct server *server, uint32_t object)
{
	return g_hash_table_contains(server->cached,
				     GUINT_TO_POINTER(object + 1));
}

static void on_back(struct fleet *fleet, void *subject)
{
	(void)fleet;
	node_answered(subject);
}

static void on_shed_back(struct fleet *fleet, void *subject)
{
	(void)fleet;
	node_failed(subject, SEND_NOT_EXECUTED);
}

static void on_failed_back(struct fleet *fleet, void *subject)
{
	(void)fleet;
	node_failed(subject, SEND_FAILED);
}

static void on_lost(struct fleet *fleet, void *subject)
{
	(void)fleet;
	node_failed(subject, SEND_UNREACHABLE);
}

static void send_back(struct request *request, fleet_event event)
{
	struct server *server = request->server;
	struct fleet *fleet = server->fleet;

	fleet_request_at(fleet,
			 fleet->now_us + fleet_way_us(fleet, server->region,
						      request->node->region),
			 event, request);
}

static void on_run_end(struct fleet *fleet, void *subject)
{
	struct request *request = subject;
	struct server *server = request->server;

	(void)fleet;
	server->running--;
	cache_add(server, request->object);
	send_back(request, on_back);
	start_next(server);
}

static void on_run_cut(struct fleet *fleet, void *subject)
{
	struct request *request = subject;
	struct server *server = request->server;

	fleet_window_now(fleet)->cut_runs++;
	server->running--;
	send_back(request, on_failed_back);
	start_next(server);
}

static void run(struct server *server, struct request *request)
{
	struct fleet *fleet = server->fleet;
	bool warm = has_cached(server, request->object);
	double work_us = request->work_us * server->slowness *
			 (warm ? fleet->plan->warm_part : 1.0);
	uint64_t end_us = fleet->now_us + (uint64_t)work_us;

	server->running++;
	if (warm)
		fleet_window_now(fleet)->warm_runs++;
	else
		fleet_window_now(fleet)->cold_runs++;
	if (end_us <= request->due_us)
		fleet_request_at(fleet, end_us, on_run_end, request);
	else
		fleet_request_at(fleet, MAX(request->due_us, fleet->now_us),
				 on_run_cut, request);
}

/* One whose time ran out in the queue is told, and not run. */
static void start_next(struct server *server)
{
	while (server->running < server->fleet->plan->slots) {
		struct request *next = g_queue_pop_head(&server->waiting);

		if (!next)
			return;
		if (next->due_us <= server->fleet->now_us)
			send_back(next, on_shed_back);
		else
			run(server, next);
	}
}

/* Turned away by a fault, or since slots and queue are full. */
static bool sheds(struct server *server)
{
	const struct plan *plan = server->fleet->plan;

	if (gsl_rng_uniform(server->fleet->random) < server->shed_part)
		return true;
	return server->running >= plan->slots &&
	       g_queue_get_length(&server->waiting) >= plan->queue;
}

void server_arrive(struct fleet *fleet, void *subject)
{
	struct request *request = subject;
	struct server *server = request->server;

	if (!server->up)
		send_back(request, on_lost);
	else if (sheds(server))
		send_back(request, on_shed_back);
	else if (server->running < fleet->plan->slots)
		run(server, request);
	else
		g_queue_push_tail(&server->waiting, request);
}

static void lose_requests(struct server *server)
{
	struct fleet *fleet = server->fleet;
	guint i;

	for (i = 0; i < fleet->requests->len; i++) {
		struct request *request = fleet->requests->pdata[i];

		if (!request->over && request->server == server)
			node_failed(request, SEND_FAILED);
	}
}

void server_set_up(struct server *server, bool up)
{
	if (server->up == up)
		return;
	server->up = up;
	server->running = 0;
	g_queue_clear(&server->waiting);
	g_queue_clear(&server->cache);
	g_hash_table_remove_all(server->cached);
	if (!up)
		lose_requests(server);
}

void servers_start(struct fleet *fleet)
{
	const struct plan *plan = fleet->plan;
	uint32_t index = 0;
	uint32_t region;
	uint32_t i;

	fleet->server_count = plan_servers(plan);
	fleet->servers = g_new0(struct server, fleet->server_count);
	for (region = 0; region < plan->region_count; region++)
		for (i = 0; i < plan->regions[region].servers; i++) {
			struct server *server = &fleet->servers[index];

			server->fleet = fleet;
			server->index = index++;
			server->region = region;
			server->up = true;
			server->slowness = 1.0;
			server->cached = g_hash_table_new(NULL, NULL);
			g_queue_init(&server->waiting);
			g_queue_init(&server->cache);
			g_snprintf(server->id, sizeof(server->id), "s-%u",
				   server->index);
		}
}

void servers_stop(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->server_count; i++) {
		g_queue_clear(&fleet->servers[i].waiting);
		g_queue_clear(&fleet->servers[i].cache);
		g_hash_table_destroy(fleet->servers[i].cached);
	}
	g_free(fleet->servers);
}
