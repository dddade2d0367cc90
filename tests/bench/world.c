#include "bench/world.h"

#include <string.h>

#include "core/result.h"

#define PER_S 1000000.0
#define BACKEND_QUEUE_FACTOR 2
/* Cold caches triple the service time at first and warm with each answer. */
#define COLD_FACTOR 2.0
#define COLD_ANSWER_FACTOR 0.99
/* A caller whose entry node is dead asks another one, and remembers. */
#define CALLER_MEMORY_US (5 * SECOND)
#define CALLER_BACKOFF_US (100 * MS)
#define LINK_QUEUE_US (200 * MS)

enum event_type {
	EVENT_ARRIVAL,
	EVENT_AT_ENTRY,
	EVENT_AT_PLACE,
	EVENT_ENDED,
	EVENT_RESULT, /* back at the entry node */
	EVENT_CALL, /* the caller sends again */
	EVENT_TICK,
	EVENT_TIMER,
	EVENT_SECOND,
};

struct event {
	uint64_t at_us;
	uint64_t sequence;
	enum event_type type;
	uint32_t number;
	struct world_request *request;
	uint64_t detail;
};

static bool is_earlier(const struct event *a, const struct event *b)
{
	if (a->at_us != b->at_us)
		return a->at_us < b->at_us;
	return a->sequence < b->sequence;
}

static struct event *event_at(struct world *world, uint32_t index)
{
	return &g_array_index(world->events, struct event, index);
}

static void swap_events(struct world *world, uint32_t a, uint32_t b)
{
	struct event kept = *event_at(world, a);

	*event_at(world, a) = *event_at(world, b);
	*event_at(world, b) = kept;
}

static void schedule(struct world *world, uint64_t at_us, enum event_type type,
		     struct world_request *request, uint32_t number,
		     uint64_t detail)
{
	struct event event = { at_us,	world->next_sequence++,
			       type,	number,
			       request, detail };
	uint32_t i = world->events->len;

	g_array_append_val(world->events, event);
	while (i &&
	       is_earlier(event_at(world, i), event_at(world, (i - 1) / 2))) {
		swap_events(world, i, (i - 1) / 2);
		i = (i - 1) / 2;
	}
}

static struct event next_event(struct world *world)
{
	struct event first = *event_at(world, 0);
	uint32_t last = world->events->len - 1;
	uint32_t i = 0;
	uint32_t child;

	swap_events(world, 0, last);
	g_array_set_size(world->events, last);
	for (;;) {
		child = 2 * i + 1;
		if (child >= last)
			break;
		if (child + 1 < last && is_earlier(event_at(world, child + 1),
						   event_at(world, child)))
			child++;
		if (!is_earlier(event_at(world, child), event_at(world, i)))
			break;
		swap_events(world, i, child);
		i = child;
	}
	return first;
}

static bool is_measured(const struct world *world,
			const struct world_request *request)
{
	return request->born_us >= world->run->measure_from_us &&
	       request->born_us < world->run->measure_to_us;
}

static double exponential(GRand *rand, double mean)
{
	double draw = g_rand_double(rand);
	double sum = 0.0;
	double term;
	int i;

	/* -log(1 - draw) by its series would be slow near 1; split instead. */
	while (draw > 0.5) {
		sum += G_LN2;
		draw = 2.0 * draw - 1.0;
	}
	term = draw;
	for (i = 1; i < 40 && term > 1e-12; i++) {
		sum += term / i;
		term *= draw;
	}
	return sum * mean;
}

uint32_t world_region(uint32_t place)
{
	return place / 2;
}

bool world_linked(const struct world *world, uint32_t from, uint32_t to)
{
	uint32_t a = world_region(from);
	uint32_t b = world_region(to);

	return a == b || (a != world->region_cut && b != world->region_cut);
}

uint64_t world_one_way_us(const struct world *world, uint32_t from, uint32_t to)
{
	if (from == to)
		return 100;
	if (world_region(from) == world_region(to))
		return MS / 2;
	return world->shape->between_regions_us;
}

static double capacity_per_s(const struct world *world)
{
	double sum = 0.0;
	uint32_t i;

	for (i = 0; i < world->backend_count; i++)
		sum += world->backends[i].slots /
		       (world->backends[i].slowness *
			(double)world->shape->service_us / PER_S);
	return sum;
}

uint32_t world_reported(const struct world *world, uint32_t backend)
{
	const struct world_backend *server = &world->backends[backend];

	if (world->liars && backend % 3 == 0)
		return 0;
	return server->running + server->queue.length;
}

void world_set_timer(struct world *world, uint32_t node, uint64_t at_us)
{
	if (at_us == UINT64_MAX)
		return;
	if (world->timer_us[node] > world->now_us &&
	    world->timer_us[node] <= at_us)
		return;
	world->timer_us[node] = MAX(at_us, world->now_us + 1);
	schedule(world, world->timer_us[node], EVENT_TIMER, NULL, node, 0);
}

static void schedule_arrival(struct world *world)
{
	double rate = world->load * world->capacity_per_s;
	uint64_t gap_us;

	gap_us = (uint64_t)exponential(world->arrivals, PER_S / rate) + 1;
	schedule(world, world->now_us + gap_us, EVENT_ARRIVAL, NULL, 0, 0);
}

static uint32_t draw_home(struct world *world)
{
	double point = g_rand_double(world->arrivals);
	uint32_t i;

	for (i = 0; i + 1 < WORLD_PLACES; i++) {
		if (point < world->home_share[i])
			return i;
		point -= world->home_share[i];
	}
	return i;
}

/* Nodes of the caller's place, then of its region, then all; the first alive
 * that the caller knows to be alive. extra_us: time lost on a dead one. */
static uint32_t caller_entry(struct world *world, uint32_t home,
			     uint64_t *extra_us)
{
	uint32_t best = WORLD_NONE;
	uint64_t best_far = UINT64_MAX;
	uint64_t far;
	uint32_t start;
	uint32_t i;
	struct world_node *node;

	*extra_us = 0;
	start = g_rand_int_range(world->arrivals, 0, (int)world->node_count);
	for (i = 0; i < world->node_count; i++) {
		node = &world->nodes[(start + i) % world->node_count];
		if (node->dead) {
			if (node->place == home &&
			    world->now_us < node->died_us + CALLER_MEMORY_US)
				*extra_us = WORLD_CONNECT_TIMEOUT_US;
			continue;
		}
		far = world_one_way_us(world, home, node->place);
		if (far < best_far) {
			best_far = far;
			best = node->index;
		}
	}
	return best;
}

static void call(struct world *world, struct world_request *request)
{
	uint64_t extra_us;

	request->calls++;
	request->attempts = 0;
	request->tried_count = 0;
	request->entry = caller_entry(world, request->home, &extra_us);
	schedule(world, world->now_us + extra_us + WORLD_CLIENT_US,
		 EVENT_AT_ENTRY, request, 0, 0);
}

static void on_arrival(struct world *world)
{
	struct world_request *request = g_new0(struct world_request, 1);

	schedule_arrival(world);
	request->id = world->next_request++;
	request->home = draw_home(world);
	request->draw = g_rand_int(world->arrivals);
	request->work = 0.5 + exponential(world->arrivals, 0.5);
	request->born_us = world->now_us;
	request->deadline_us = world->now_us + world->shape->timeout_us;
	request->shift = CONFIG_NONE;
	if (is_measured(world, request))
		world->measure.offered++;
	call(world, request);
}

/* The caller has its answer, or has given up. */
static void settle(struct world *world, struct world_request *request,
		   uint64_t at_us)
{
	struct world_measure *measure = &world->measure;
	uint64_t latency_us = at_us - request->born_us;

	if (is_measured(world, request)) {
		if (request->result == RESULT_OK &&
		    at_us <= request->deadline_us) {
			measure->answered++;
			g_array_append_val(measure->latencies_us, latency_us);
			measure->finished_us =
				MAX(measure->finished_us,
				    at_us - world->run->measure_from_us);
		} else if (result_is_not_run(request->result)) {
			measure->refused++;
		}
	}
	g_free(request);
}

/* The caller hears of a refusal and calls again, as far as it does so. */
static void answer_caller(struct world *world, struct world_request *request)
{
	uint64_t at_us = world->now_us + WORLD_CLIENT_US;
	uint64_t pause_us = request->retry_after_us;
	bool may = result_is_not_run(request->result) &&
		   request->calls < world->run->caller_calls;

	if (!pause_us)
		pause_us = (CALLER_BACKOFF_US << (request->calls - 1)) / 2 +
			   request->draw % CALLER_BACKOFF_US;
	if (may && at_us + pause_us < request->deadline_us)
		schedule(world, at_us + pause_us, EVENT_CALL, request, 0, 0);
	else
		settle(world, request, at_us);
}

/* The link between two regions as a server of one request at a time. */
static bool pass_link(struct world *world, uint32_t from, uint32_t to,
		      uint64_t *delay_us)
{
	uint32_t a = world_region(from);
	uint32_t b = world_region(to);
	uint64_t *free_us = &world->link_free_us[a][b];

	*delay_us = world_one_way_us(world, from, to);
	if (!world->run->link_limit_per_s || a == b)
		return true;
	*free_us = MAX(*free_us, world->now_us);
	if (*free_us > world->now_us + LINK_QUEUE_US)
		return false;
	*free_us += SECOND / world->run->link_limit_per_s;
	*delay_us += *free_us - world->now_us;
	return true;
}

static void send_result(struct world *world, struct world_request *request,
			enum result result, uint64_t delay_us)
{
	request->result = result;
	schedule(world, world->now_us + delay_us, EVENT_RESULT, request, 0, 0);
}

static bool place_is_dead(const struct world *world, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < world->node_count; i++)
		if (world->nodes[i].place == place && !world->nodes[i].dead)
			return false;
	return true;
}

static void send_to_place(struct world *world, struct world_request *request)
{
	uint32_t from = world->nodes[request->entry].place;
	uint64_t delay_us;
	bool dead = place_is_dead(world, request->place);

	request->sent_us = world->now_us;
	request->retry_after_us = 0;
	if (dead || !world_linked(world, from, request->place) ||
	    !pass_link(world, from, request->place, &delay_us)) {
		send_result(world, request, RESULT_CONNECT_FAILED,
			    WORLD_CONNECT_TIMEOUT_US);
		return;
	}
	schedule(world, world->now_us + delay_us, EVENT_AT_PLACE, request, 0,
		 0);
}

static void on_entry(struct world *world, struct world_request *request)
{
	struct policy *policy = world->policy;

	if (request->entry == WORLD_NONE || world->nodes[request->entry].dead) {
		request->result = RESULT_UNREACHABLE;
		settle(world, request, world->now_us);
		return;
	}
	request->shift = CONFIG_NONE;
	request->shifted = false;
	request->local_tries = 0;
	if (!policy->vtable->route(policy, request)) {
		answer_caller(world, request);
		return;
	}
	request->attempts++;
	if (request->attempts == 1 && is_measured(world, request))
		world->measure.admitted++;
	if (request->tried_count < REQUEST_MAX_ATTEMPTS)
		request->tried[request->tried_count++] = request->place;
	send_to_place(world, request);
}

/* Back to the entry node, if the way back stands. */
static void return_result(struct world *world, struct world_request *request,
			  enum result result, uint64_t extra_us)
{
	uint32_t to = world->nodes[request->entry].place;
	uint64_t back_us = world_one_way_us(world, request->place, to);

	if (!world_linked(world, request->place, to)) {
		/* Silence: noticed, and then a new connection fails. */
		result = RESULT_OUTCOME_UNKNOWN;
		extra_us += WORLD_SILENCE_US + WORLD_CONNECT_TIMEOUT_US;
	}
	if (result == RESULT_OUTCOME_UNKNOWN &&
	    world->shape->class_of != SERVICE_NON_IDEMPOTENT)
		result = RESULT_ATTEMPTS_FAILED;
	send_result(world, request, result, back_us + extra_us);
}

void world_refuse(struct world *world, struct world_request *request,
		  enum result refusal, uint64_t retry_after_us)
{
	request->retry_after_us = retry_after_us;
	return_result(world, request, refusal, 0);
}

static void note_overload(struct world *world, uint32_t place)
{
	uint32_t beyond = 0;
	uint32_t i;

	for (i = 0; i < world->backend_count; i++)
		if (world->backends[i].place == place)
			beyond += world->backends[i].queue.length;
	if (world->now_us >= world->run->measure_from_us)
		world->measure.overload = MAX(world->measure.overload, beyond);
}

static void begin(struct world *world, struct world_backend *server,
		  struct world_request *request)
{
	double cold = request->shifted ?
			      MAX(server->cold, server->cold_to_shift) :
			      server->cold;
	double time_us = (double)world->shape->service_us * request->work *
			 server->slowness * (1.0 + COLD_FACTOR * cold);

	server->running++;
	request->runs++;
	request->generation = server->generation;
	if (request->runs > 1 &&
	    world->shape->class_of == SERVICE_NON_IDEMPOTENT)
		world->measure.doubled++;
	schedule(world, world->now_us + (uint64_t)time_us, EVENT_ENDED, request,
		 server->index, GATE_ANSWERED);
}

void world_start(struct world *world, struct world_request *request,
		 uint32_t backend)
{
	struct world_backend *server = &world->backends[backend];

	request->backend = backend;
	request->started_us = world->now_us;
	if (server->leaving &&
	    world->now_us > server->leaving_since_us + SECOND)
		world->measure.to_leaving++;
	if (server->dead)
		schedule(world, world->now_us + MS, EVENT_ENDED, request,
			 backend, GATE_CONNECT_FAILED);
	else if (server->running < server->slots)
		begin(world, server, request);
	else if (server->queue.length < BACKEND_QUEUE_FACTOR * server->slots)
		g_queue_push_tail(&server->queue, request);
	else
		schedule(world, world->now_us, EVENT_ENDED, request, backend,
			 GATE_SHED);
	note_overload(world, server->place);
}

/* Take in what waits at the server; work past its deadline is dropped. */
static void begin_next(struct world *world, struct world_backend *server)
{
	struct world_request *request;

	while (server->running < server->slots) {
		request = g_queue_pop_head(&server->queue);
		if (!request)
			return;
		if (request->deadline_us > world->now_us)
			begin(world, server, request);
		else
			schedule(world, world->now_us, EVENT_ENDED, request,
				 server->index, GATE_TIMED_OUT);
	}
}

static enum result result_of(enum gate_outcome outcome)
{
	switch (outcome) {
	case GATE_ANSWERED:
		return RESULT_OK;
	case GATE_SHED:
		return RESULT_BACKEND_SHED;
	case GATE_CONNECT_FAILED:
		return RESULT_CONNECT_FAILED;
	case GATE_TIMED_OUT:
		return RESULT_TIMED_OUT;
	case GATE_BROKEN:
		break;
	}
	return RESULT_OUTCOME_UNKNOWN;
}

static void warm_up(struct world_backend *server, bool shifted)
{
	server->cold *= COLD_ANSWER_FACTOR;
	if (shifted)
		server->cold_to_shift *= COLD_ANSWER_FACTOR;
}

static void on_ended(struct world *world, struct world_request *request,
		     enum gate_outcome outcome)
{
	struct policy *policy = world->policy;
	struct world_backend *server = &world->backends[request->backend];
	bool node_dead = request->node != WORLD_NONE &&
			 world->nodes[request->node].dead;
	uint64_t extra_us = 0;

	if (outcome == GATE_ANSWERED) {
		if (request->generation == server->generation) {
			server->running--;
			warm_up(server, request->shifted);
			server->last_end_us = world->now_us;
			begin_next(world, server);
		} else {
			outcome = GATE_BROKEN;
		}
	}
	if (node_dead) {
		return_result(world, request, RESULT_OUTCOME_UNKNOWN,
			      WORLD_SILENCE_US + WORLD_CONNECT_TIMEOUT_US);
		return;
	}
	if (outcome == GATE_BROKEN && request->node == WORLD_NONE)
		extra_us = WORLD_SILENCE_US;
	request->result = result_of(outcome);
	if (!policy->vtable->ended(policy, request, outcome))
		return_result(world, request, request->result, extra_us);
}

static bool may_go_on(struct world *world, struct world_request *request)
{
	if (request->result == RESULT_OK ||
	    request->attempts >= REQUEST_MAX_ATTEMPTS ||
	    world->now_us >= request->deadline_us)
		return false;
	if (!result_is_not_run(request->result) &&
	    request->result != RESULT_ATTEMPTS_FAILED)
		return false;
	if (request->result == RESULT_SHIFT_CAP)
		return true;
	if (!world->policy->vtable->may_retry(world->policy, request->entry))
		return false;
	if (is_measured(world, request))
		world->measure.extra_attempts++;
	return true;
}

static void on_result(struct world *world, struct world_request *request)
{
	if (world->nodes[request->entry].dead) {
		settle(world, request, world->now_us);
		return;
	}
	world->policy->vtable->learn(world->policy, request);
	if (may_go_on(world, request))
		on_entry(world, request);
	else
		answer_caller(world, request);
}

static void on_place(struct world *world, struct world_request *request)
{
	if (request->node != WORLD_NONE && world->nodes[request->node].dead) {
		return_result(world, request, RESULT_OUTCOME_UNKNOWN,
			      WORLD_SILENCE_US + WORLD_CONNECT_TIMEOUT_US);
		return;
	}
	world->policy->vtable->arrive(world->policy, request);
}

void world_note_shifted(struct world *world)
{
	GArray *arrivals = world->shift_arrivals_us;
	uint32_t count = 0;
	uint32_t i;

	g_array_append_val(arrivals, world->now_us);
	if (world->now_us < world->run->measure_to_us &&
	    world->now_us + 10 * SECOND >= world->run->measure_to_us)
		world->measure.shifted_late++;
	for (i = arrivals->len; i-- > 0; count++)
		if (g_array_index(arrivals, uint64_t, i) + SECOND <=
		    world->now_us)
			break;
	if (count > world->shift.cap_per_s)
		world->measure.cap_overshoot =
			MAX(world->measure.cap_overshoot,
			    count - world->shift.cap_per_s);
}

void world_kill_place(struct world *world, uint32_t place)
{
	struct world_backend *server;
	struct world_request *request;
	uint32_t i;

	for (i = 0; i < world->backend_count; i++) {
		server = &world->backends[i];
		if (server->place != place)
			continue;
		server->dead = true;
		server->died_us = world->now_us;
		server->generation++;
		server->running = 0;
		while ((request = g_queue_pop_head(&server->queue)))
			schedule(world, world->now_us, EVENT_ENDED, request, i,
				 GATE_BROKEN);
	}
	for (i = 0; i < world->node_count; i++) {
		if (world->nodes[i].place != place)
			continue;
		world->nodes[i].dead = true;
		world->nodes[i].died_us = world->now_us;
		world->policy->vtable->node_reset(world->policy, i);
	}
}

void world_revive_place(struct world *world, uint32_t place)
{
	uint32_t i;

	for (i = 0; i < world->backend_count; i++) {
		if (world->backends[i].place != place)
			continue;
		world->backends[i].dead = false;
		world->backends[i].died_us = world->now_us;
		world->backends[i].cold = 1.0;
	}
	for (i = 0; i < world->node_count; i++)
		if (world->nodes[i].place == place)
			world->nodes[i].dead = false;
}

void world_cut_region(struct world *world, uint32_t region)
{
	world->cut_before = world->region_cut;
	world->region_cut = region;
	world->cut_changed_us = world->now_us;
}

void world_drain_backend(struct world *world, uint32_t backend)
{
	world->backends[backend].leaving = true;
	world->backends[backend].leaving_since_us = world->now_us;
	world->policy->vtable->changed(world->policy);
}

void world_set_shift(struct world *world, const struct world_shift *shift)
{
	uint32_t i;

	world->shift = *shift;
	world->measure.cap_per_s = shift->cap_per_s;
	for (i = 0; i < world->backend_count; i++)
		if (world->backends[i].place == shift->to)
			world->backends[i].cold_to_shift = 1.0;
	world->policy->vtable->changed(world->policy);
}

static void build(struct world *world)
{
	const struct world_shape *shape = world->shape;
	uint32_t i;

	world->node_count = shape->nodes;
	for (i = 0; i < shape->nodes; i++) {
		world->nodes[i].index = i;
		world->nodes[i].place = i % WORLD_PLACES;
		world->nodes[i].rank = i / WORLD_PLACES;
		world->nodes[i].count =
			(shape->nodes + WORLD_PLACES - 1 - i % WORLD_PLACES) /
			WORLD_PLACES;
	}
	world->backend_count = shape->backends;
	for (i = 0; i < shape->backends; i++) {
		world->backends[i].index = i;
		world->backends[i].place = i % WORLD_PLACES;
		world->backends[i].slots = shape->slots;
		world->backends[i].slowness = 1.0;
		if (world->run->uneven && (i / WORLD_PLACES) % 2)
			world->backends[i].slowness = 3.0;
		g_queue_init(&world->backends[i].queue);
	}
	world->capacity_per_s = capacity_per_s(world);
	for (i = 0; i < shape->backends; i++)
		world->home_share[world->backends[i].place] +=
			shape->slots /
			(world->backends[i].slowness *
			 (double)shape->service_us / PER_S) /
			world->capacity_per_s;
}

static void on_event(struct world *world, const struct event *event)
{
	struct policy *policy = world->policy;

	switch (event->type) {
	case EVENT_ARRIVAL:
		on_arrival(world);
		break;
	case EVENT_AT_ENTRY:
		on_entry(world, event->request);
		break;
	case EVENT_AT_PLACE:
		on_place(world, event->request);
		break;
	case EVENT_ENDED:
		on_ended(world, event->request,
			 (enum gate_outcome)event->detail);
		break;
	case EVENT_RESULT:
		on_result(world, event->request);
		break;
	case EVENT_CALL:
		call(world, event->request);
		break;
	case EVENT_TICK:
		policy->vtable->tick(policy);
		schedule(world, world->now_us + WORLD_TICK_US, EVENT_TICK, NULL,
			 0, 0);
		break;
	case EVENT_TIMER:
		if (world->timer_us[event->number] != event->at_us)
			break;
		world->timer_us[event->number] = 0;
		policy->vtable->timer(policy, event->number);
		break;
	case EVENT_SECOND:
		if (world->run->act)
			world->run->act(world, world->now_us / SECOND);
		schedule(world, world->now_us + SECOND, EVENT_SECOND, NULL, 0,
			 0);
		break;
	}
}

static void note_drain(struct world *world)
{
	const struct world_backend *server;
	uint32_t i;

	for (i = 0; i < world->backend_count; i++) {
		server = &world->backends[i];
		if (server->leaving &&
		    server->last_end_us > server->leaving_since_us)
			world->measure.drained_us = MAX(
				world->measure.drained_us,
				server->last_end_us - server->leaving_since_us);
	}
}

static void free_left(struct world *world)
{
	struct event event;
	uint32_t i;

	for (i = 0; i < world->backend_count; i++)
		g_queue_clear_full(&world->backends[i].queue, g_free);
	while (world->events->len) {
		event = next_event(world);
		g_free(event.request);
	}
}

void world_run_case(const struct world_case *run,
		    const struct policy_vtable *vtable, uint64_t seed,
		    struct world_measure *measure)
{
	struct world *world = g_new0(struct world, 1);
	uint64_t end_us = run->measure_to_us + run->shape->timeout_us + SECOND;
	struct event event;

	world->run = run;
	world->shape = run->shape;
	world->load = run->load;
	world->seed = seed;
	world->region_cut = WORLD_NONE;
	world->cut_before = WORLD_NONE;
	world->arrivals = g_rand_new_with_seed((guint32)seed);
	world->decisions = g_rand_new_with_seed((guint32)seed + 1);
	world->events = g_array_new(FALSE, FALSE, sizeof(struct event));
	world->shift_arrivals_us = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	world->measure.latencies_us =
		g_array_new(FALSE, FALSE, sizeof(uint64_t));
	build(world);
	world->policy = vtable->open(world);
	schedule(world, 0, EVENT_TICK, NULL, 0, 0);
	schedule(world, 0, EVENT_SECOND, NULL, 0, 0);
	schedule_arrival(world);
	for (;;) {
		event = next_event(world);
		if (event.at_us > end_us)
			break;
		world->now_us = event.at_us;
		on_event(world, &event);
	}
	g_free(event.request);
	note_drain(world);
	*measure = world->measure;
	vtable->close(world->policy);
	free_left(world);
	g_array_free(world->events, TRUE);
	g_array_free(world->shift_arrivals_us, TRUE);
	g_rand_free(world->arrivals);
	g_rand_free(world->decisions);
	g_free(world);
}
