#include <gsl/gsl_sort.h>
#include <gsl/gsl_statistics.h>
#include <string.h>

#include "core/duration.h"
#include "experiment/fleet_parts.h"

/* Windows whose mean is the worst. */
#define WORST_WINDOWS 2

struct event {
	uint64_t at_us;
	uint64_t number; /* of two at one time, the earlier made is first */
	fleet_event fire;
	void *subject;
	struct request *request; /* NULL: of none */
	uint32_t stage;
	GDestroyNotify drop; /* frees the subject of one that isn't fired */
};

/* A fault that begins or ends. */
struct turn {
	const struct plan_fault *fault;
	bool begins;
};

static gint compare_events(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct event *left = a;
	const struct event *right = b;

	(void)unused;
	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return (left->number > right->number) - (left->number < right->number);
}

static void event_free(gpointer data)
{
	struct event *event = data;

	if (event->drop)
		event->drop(event->subject);
	g_free(event);
}

static void add_event(struct fleet *fleet, uint64_t at_us, fleet_event fire,
		      void *subject, struct request *request,
		      GDestroyNotify drop)
{
	struct event *event = g_new0(struct event, 1);

	event->at_us = at_us;
	event->number = fleet->events++;
	event->fire = fire;
	event->subject = subject;
	event->request = request;
	event->stage = request ? request->stage : 0;
	event->drop = drop;
	g_sequence_insert_sorted(fleet->queue, event, compare_events, NULL);
}

void fleet_at(struct fleet *fleet, uint64_t at_us, fleet_event event,
	      void *subject)
{
	add_event(fleet, at_us, event, subject, NULL, NULL);
}

void fleet_at_owned(struct fleet *fleet, uint64_t at_us, fleet_event event,
		    void *subject, GDestroyNotify drop)
{
	add_event(fleet, at_us, event, subject, NULL, drop);
}

void fleet_request_at(struct fleet *fleet, uint64_t at_us, fleet_event event,
		      struct request *request)
{
	add_event(fleet, at_us, event, request, request, NULL);
}

struct fleet_window *fleet_window_now(struct fleet *fleet)
{
	uint32_t window = (uint32_t)(fleet->now_us / fleet->plan->window_us);

	return &fleet->result
			->windows[MIN(window, fleet->result->window_count - 1)];
}

uint64_t fleet_way_us(const struct fleet *fleet, uint32_t from, uint32_t to)
{
	return from == to ? fleet->plan->near_us : fleet->plan->far_us;
}

/* --- faults ------------------------------------------------------------- */

static void meet_servers(struct fleet *fleet, const struct turn *turn)
{
	const struct plan_fault *fault = turn->fault;
	uint32_t met = 0;
	uint32_t i;

	for (i = 0; i < fleet->server_count && met < fault->count; i++) {
		struct server *server = &fleet->servers[i];

		if (fault->region != PLAN_EVERYWHERE &&
		    server->region != fault->region)
			continue;
		met++;
		if (fault->kind == PLAN_SERVERS_DOWN)
			server_set_up(server, !turn->begins);
		else if (fault->kind == PLAN_SERVERS_SLOW)
			server->slowness = turn->begins ? fault->factor : 1.0;
		else
			server->shed_part = turn->begins ? fault->factor : 0;
	}
}

static void on_turn(struct fleet *fleet, void *subject)
{
	struct turn *turn = subject;

	switch (turn->fault->kind) {
	case PLAN_BURST:
		fleet->burst = turn->begins ? turn->fault->factor : 1.0;
		break;
	case PLAN_NODES_KILLED:
		nodes_set_up(fleet, !turn->begins);
		break;
	default:
		meet_servers(fleet, turn);
		break;
	}
	g_free(turn);
}

static void add_turn(struct fleet *fleet, const struct plan_fault *fault,
		     bool begins)
{
	struct turn *turn = g_new0(struct turn, 1);

	turn->fault = fault;
	turn->begins = begins;
	fleet_at_owned(fleet, fault->at_us + (begins ? 0 : fault->for_us),
		       on_turn, turn, g_free);
}

/* --- the day ------------------------------------------------------------ */

static void play_events(struct fleet *fleet)
{
	while (!g_sequence_is_empty(fleet->queue)) {
		GSequenceIter *first = g_sequence_get_begin_iter(fleet->queue);
		struct event *next = g_sequence_get(first);
		struct event event = *next;

		if (event.at_us > fleet->plan->length_us)
			return;
		next->drop = NULL;
		g_sequence_remove(first);
		fleet->now_us = event.at_us;
		if (!event.request || event.request->stage == event.stage)
			event.fire(fleet, event.subject);
	}
}

static double worst_windows(const struct fleet_result *result, uint32_t whole)
{
	double parts[WORST_WINDOWS] = { 1.0, 1.0 };
	uint32_t i;

	for (i = 0; i < whole; i++) {
		const struct fleet_window *window = &result->windows[i];
		double part = window->asked ? window->worth / window->asked : 1;

		if (part < parts[0]) {
			parts[1] = parts[0];
			parts[0] = part;
		} else if (part < parts[1]) {
			parts[1] = part;
		}
	}
	return (parts[0] + parts[1]) / WORST_WINDOWS;
}

void fleet_sum_up(const struct plan *plan, GArray *times,
		  struct fleet_result *result)
{
	/* Who began in the last deadline of the day may not have ended. */
	uint64_t judged_us = plan->length_us > plan->deadline_us ?
				     plan->length_us - plan->deadline_us :
				     plan->length_us;
	uint32_t whole = (uint32_t)(judged_us / plan->window_us);
	uint32_t i;

	result->window_count = whole;
	for (i = 0; i < whole; i++) {
		const struct fleet_window *window = &result->windows[i];

		result->total.asked += window->asked;
		result->total.in_aim += window->in_aim;
		result->total.late += window->late;
		result->total.refused += window->refused;
		result->total.failed += window->failed;
		result->total.cold_runs += window->cold_runs;
		result->total.warm_runs += window->warm_runs;
		result->total.cut_runs += window->cut_runs;
		result->total.far_sends += window->far_sends;
		result->total.worth += window->worth;
	}
	result->worst_windows = worst_windows(result, whole);
	if (!times->len)
		return;
	gsl_sort((double *)(void *)times->data, 1, times->len);
	result->p50_us = (uint64_t)gsl_stats_quantile_from_sorted_data(
		(double *)(void *)times->data, 1, times->len, 0.5);
	result->p99_us = (uint64_t)gsl_stats_quantile_from_sorted_data(
		(double *)(void *)times->data, 1, times->len, 0.99);
}

void fleet_init(struct fleet *fleet, const struct plan *plan,
		const struct fleet_options *options,
		struct fleet_result *result)
{
	memset(fleet, 0, sizeof(*fleet));
	memset(result, 0, sizeof(*result));
	result->window_count =
		(uint32_t)(plan->length_us / plan->window_us) + 1;
	result->windows = g_new0(struct fleet_window, result->window_count);
	fleet->plan = plan;
	fleet->options = options;
	fleet->result = result;
	fleet->burst = 1.0;
	fleet->queue = g_sequence_new(event_free);
	fleet->random = gsl_rng_alloc(gsl_rng_mt19937);
	gsl_rng_set(fleet->random, options->seed);
	/* The decision code draws from GLib's. */
	g_random_set_seed((guint32)options->seed);
	fleet->requests = g_ptr_array_new_with_free_func(g_free);
	fleet->times = g_array_new(FALSE, FALSE, sizeof(double));
}

void fleet_release(struct fleet *fleet)
{
	g_sequence_free(fleet->queue);
	gsl_rng_free(fleet->random);
	g_ptr_array_unref(fleet->requests);
	g_array_unref(fleet->times);
}

void fleet_play(const struct plan *plan, const struct fleet_options *options,
		struct fleet_result *result)
{
	struct fleet fleet;
	uint32_t i;

	fleet_init(&fleet, plan, options, result);
	servers_start(&fleet);
	nodes_start(&fleet);
	callers_start(&fleet);
	for (i = 0; i < plan->fault_count; i++) {
		add_turn(&fleet, &plan->faults[i], true);
		add_turn(&fleet, &plan->faults[i], false);
	}
	play_events(&fleet);
	nodes_stop(&fleet);
	servers_stop(&fleet);
	fleet_sum_up(plan, fleet.times, result);
	fleet_release(&fleet);
}

void fleet_result_release(struct fleet_result *result)
{
	g_free(result->windows);
	memset(result, 0, sizeof(*result));
}

const char *fleet_policy_name(enum fleet_policy policy)
{
	static const char *const names[FLEET_POLICIES] = {
		[FLEET_OURS] = "ours",
		[FLEET_TWO_CHOICES] = "two-choices",
		[FLEET_LEAST_LOAD] = "least-load",
		[FLEET_BOUNDED_HASH] = "bounded-hash",
	};

	return names[policy];
}
