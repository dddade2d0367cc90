#include <string.h>

#include "core/duration.h"
#include "core/hash.h"
#include "experiment/fleet_parts.h"

/* Of a deployment's extra requests: part, allowance and window. */
#define EXTRA_RATIO 0.2
#define EXTRA_ALLOWANCE 60
#define EXTRA_WINDOW_US (10 * US_PER_S)

/* As the deployed node: when a server that failed may be asked again. */
#define RETRY_SOON_US (500 * US_PER_MS)

#define SERVICE "service"

static char *region_name(uint32_t region)
{
	return g_strdup_printf("r%u", region);
}

/* --- sends -------------------------------------------------------------- */

static void end_try(struct request *request)
{
	g_hash_table_remove(request->node->requests, request);
	request->stage++;
}

static void release_choice(struct request *request)
{
	if (!request->choice.backend)
		return;
	backend_end(request->choice.backend, request->choice.work_us);
	backend_unref(request->choice.backend);
	request->choice.backend = NULL;
	request->server = NULL;
}

static void refuse(struct request *request, uint64_t retry_after_us)
{
	end_try(request);
	callers_refused(request, retry_after_us);
}

static void choose(struct request *request)
{
	struct node *node = request->node;
	struct fleet *fleet = node->fleet;
	struct choice *choice = &request->choice;

	request->query.left_us = request->due_us > fleet->now_us ?
					 request->due_us - fleet->now_us :
					 0;
	request->query.spent_us = fleet->now_us - request->arrived_us;
	if (fleet->options->policy == FLEET_OURS) {
		choose_backend(&node->chooser, &request->query, fleet->now_us,
			       choice);
		return;
	}
	memset(choice, 0, sizeof(*choice));
	choice->backend = baseline_choose(node, &request->query);
	choice->reason = CHOOSE_RANK;
	choice->retry_after_us = RETRY_SOON_US;
}

static struct server *server_of(struct fleet *fleet,
				const struct backend *backend)
{
	return &fleet->servers[atoi(backend->id + 2)];
}

static void send(struct request *request)
{
	struct node *node = request->node;
	struct fleet *fleet = node->fleet;
	struct backend *backend = backend_ref(request->choice.backend);

	backend_begin(backend, request->choice.work_us, fleet->now_us);
	chooser_began(&node->chooser, &request->query, &request->choice,
		      fleet->now_us);
	request->server = server_of(fleet, backend);
	request->sent_us = fleet->now_us;
	request->retry.sends++;
	request->retry.usual_us = (uint64_t)request->choice.expected_us;
	if (request->query.tried_count < CHOOSE_MAX_TRIED)
		request->query.tried[request->query.tried_count++] = backend;
	if (request->server->region != node->region)
		fleet_window_now(fleet)->far_sends++;
	fleet_request_at(fleet,
			 fleet->now_us + fleet_way_us(fleet, node->region,
						      request->server->region),
			 server_arrive, request);
}

static void dispatch(struct fleet *fleet, void *subject)
{
	struct request *request = subject;

	request->stage++;
	if (fleet->now_us >= request->due_us) {
		refuse(request, RETRY_SOON_US);
		return;
	}
	choose(request);
	if (request->choice.reason == CHOOSE_HOLD)
		fleet_request_at(fleet, fleet->now_us + request->choice.hold_us,
				 dispatch, request);
	else if (request->choice.backend)
		send(request);
	else
		refuse(request, request->choice.retry_after_us);
}

void node_take(struct node *node, struct request *request)
{
	struct fleet *fleet = node->fleet;
	const struct plan *plan = fleet->plan;
	uint64_t left_us = request->give_up_us > fleet->now_us ?
				   request->give_up_us - fleet->now_us :
				   0;

	g_hash_table_add(node->requests, request);
	memset(&request->query, 0, sizeof(request->query));
	memset(&request->retry, 0, sizeof(request->retry));
	request->arrived_us = fleet->now_us;
	request->due_us = fleet->now_us + MIN(plan->timeout_us, left_us);
	request->query.route = fleet->route;
	request->query.service = fleet->service;
	request->query.has_object = true;
	request->query.object = hash_pair(request->object, 1) & UINT32_MAX;
	request->query.patience_us = left_us;
	request->retry.idempotent = plan->idempotent;
	request->retry.max_attempts = plan->max_attempts;
	extra_budget_record_first(&node->budget, &fleet->extra, fleet->now_us);
	dispatch(fleet, request);
}

/* --- answers ------------------------------------------------------------ */

static void hear_load(struct request *request)
{
	const struct server *server = request->server;

	backend_note_load(request->choice.backend, server->running,
			  g_queue_get_length((GQueue *)&server->waiting),
			  server->fleet->now_us);
}

void node_answered(struct request *request)
{
	struct node *node = request->node;
	struct fleet *fleet = node->fleet;
	struct backend *backend = request->choice.backend;
	uint64_t way_us =
		2 * fleet_way_us(fleet, node->region, request->server->region);

	hear_load(request);
	backend_succeeded(backend);
	chooser_learn(&node->chooser, &request->query, &request->choice,
		      fleet->now_us - request->sent_us, way_us, fleet->now_us);
	release_choice(request);
	end_try(request);
	callers_answered(request);
}

static bool may_retry(struct request *request, enum send_outcome outcome)
{
	struct node *node = request->node;
	struct fleet *fleet = node->fleet;

	request->retry.left_us = request->due_us > fleet->now_us ?
					 request->due_us - fleet->now_us :
					 0;
	switch (retry_decide(&request->retry, outcome)) {
	case RETRY_FREE:
		return true;
	case RETRY_BUDGETED:
		return extra_budget_take(&node->budget, &fleet->extra,
					 fleet->node_count, fleet->now_us);
	case RETRY_NONE:
		break;
	}
	return false;
}

static void note_failure(struct request *request, enum send_outcome outcome)
{
	struct node *node = request->node;
	struct backend *backend = request->choice.backend;
	uint64_t now_us = node->fleet->now_us;

	chooser_failed(&node->chooser, &request->query, &request->choice);
	if (outcome == SEND_UNREACHABLE) {
		request->retry.unreachable++;
		request->retry.sends--;
		backend_unreachable(node->backends, backend, now_us);
	} else if (outcome == SEND_FAILED) {
		backend_failed(backend, now_us);
	}
	if (outcome != SEND_UNREACHABLE && request->server)
		hear_load(request);
}

void node_failed(struct request *request, enum send_outcome outcome)
{
	bool again;

	request->stage++;
	note_failure(request, outcome);
	again = may_retry(request, outcome);
	release_choice(request);
	if (again) {
		dispatch(request->node->fleet, request);
		return;
	}
	if (outcome != SEND_FAILED) {
		refuse(request, RETRY_SOON_US);
		return;
	}
	end_try(request);
	callers_failed(request);
}

/* --- the nodes themselves ----------------------------------------------- */

static void learn_servers(struct node *node)
{
	struct fleet *fleet = node->fleet;
	uint32_t i;

	for (i = 0; i < fleet->server_count; i++) {
		char *region = region_name(fleet->servers[i].region);
		const struct backend_info facts = {
			.id = fleet->servers[i].id,
			.service = SERVICE,
			.domain = region,
			.region = region,
			.slots = fleet->plan->slots,
		};

		/* Requests are on their way for half a round trip, no more. */
		backend_table_put(node->backends, &facts, fleet->now_us)
			->idle_connections = 1;
		g_free(region);
	}
	node->backends->loaded = true;
}

static void learn_members(struct node *node)
{
	struct fleet *fleet = node->fleet;
	uint32_t i;

	for (i = 0; i < fleet->node_count; i++) {
		char *name = g_strdup_printf("n-%u", i);
		struct member *member = member_table_put(node->members, name);

		g_free(member->region);
		member->region = region_name(fleet->nodes[i].region);
		member_note_heartbeat(member, 1, false, fleet->now_us);
		g_free(name);
	}
}

static void node_begin(struct node *node)
{
	char *name = g_strdup_printf("n-%u", node->index);

	node->up = true;
	node->backends = backend_table_new();
	node->members = member_table_new(name);
	warmth_init(&node->warmth);
	learn_members(node);
	chooser_init(&node->chooser, node->backends, node->members,
		     &node->warmth, node->members->self->region,
		     node->members->self->region);
	node->chooser.disabled = node->fleet->options->off;
	learn_servers(node);
	memset(&node->budget, 0, sizeof(node->budget));
	g_free(name);
}

static void node_end(struct node *node)
{
	GPtrArray *requests = node->fleet->requests;
	guint i;

	node->up = false;
	/* In the order in which they came, which is the same in each run. */
	for (i = 0; i < requests->len; i++) {
		struct request *request = requests->pdata[i];

		if (!g_hash_table_contains(node->requests, request))
			continue;
		release_choice(request);
		end_try(request);
		callers_failed(request);
	}
	chooser_release(&node->chooser);
	warmth_release(&node->warmth);
	member_table_free(node->members);
	backend_table_free(node->backends);
}

void nodes_set_up(struct fleet *fleet, bool up)
{
	uint32_t i;

	for (i = 0; i < fleet->node_count; i++) {
		struct node *node = &fleet->nodes[i];

		if (up && !node->up)
			node_begin(node);
		else if (!up && node->up)
			node_end(node);
	}
}

/* A node for a caller of the region: one of it, else any. */
struct node *nodes_draw(struct fleet *fleet, uint32_t region)
{
	uint32_t near = fleet->plan->regions[region].nodes;
	uint32_t first = 0;
	uint32_t i;

	if (!near)
		return &fleet->nodes[gsl_rng_uniform_int(fleet->random,
							 fleet->node_count)];
	for (i = 0; i < region; i++)
		first += fleet->plan->regions[i].nodes;
	return &fleet->nodes[first + gsl_rng_uniform_int(fleet->random, near)];
}

static void make_route(struct fleet *fleet)
{
	const struct plan *plan = fleet->plan;

	fleet->routes = route_table_new(1);
	fleet->service = route_table_add_service(fleet->routes, SERVICE);
	fleet->route =
		route_table_add(fleet->routes, route_new("route", "h", "/"));
	fleet->route->idempotent = plan->idempotent;
	fleet->route->timeout_us = plan->timeout_us;
	fleet->route->target_us = plan->target_us;
	fleet->route->max_attempts = plan->max_attempts;
	fleet->extra.ratio = EXTRA_RATIO;
	fleet->extra.allowance = EXTRA_ALLOWANCE;
	fleet->extra.window_us = EXTRA_WINDOW_US;
}

void nodes_start(struct fleet *fleet)
{
	const struct plan *plan = fleet->plan;
	uint32_t index = 0;
	uint32_t region;
	uint32_t i;

	make_route(fleet);
	fleet->node_count = plan_nodes(plan);
	fleet->nodes = g_new0(struct node, fleet->node_count);
	for (region = 0; region < plan->region_count; region++)
		for (i = 0; i < plan->regions[region].nodes; i++) {
			fleet->nodes[index].fleet = fleet;
			fleet->nodes[index].region = region;
			fleet->nodes[index].index = index;
			fleet->nodes[index].requests =
				g_hash_table_new(NULL, NULL);
			index++;
		}
	nodes_set_up(fleet, true);
	for (i = 0; i < fleet->node_count; i++)
		beats_start(&fleet->nodes[i]);
}

void nodes_stop(struct fleet *fleet)
{
	uint32_t i;

	for (i = 0; i < fleet->node_count; i++) {
		if (fleet->nodes[i].up)
			node_end(&fleet->nodes[i]);
		g_hash_table_destroy(fleet->nodes[i].requests);
	}
	g_free(fleet->nodes);
	route_table_unref(fleet->routes);
}
