#include "history/checker.h"

#include <inttypes.h>
#include <string.h>

#define WINDOW_US 1000000ull
#define MOST_FINDINGS 10 /* of one promise */

static const char *const promise_names[] = {
	[PROMISE_SHIFT_CAP] = "shift-cap",   [PROMISE_OVERLOAD] = "overload",
	[PROMISE_OWN_ANSWER] = "own-answer", [PROMISE_NOT_RUN] = "not-run",
	[PROMISE_ONCE] = "at-most-once",     [PROMISE_LEAVING] = "leaving",
	[PROMISE_STOP] = "planned-stop",     [PROMISE_CONFIG] = "config",
};

/* What became of one request, told apart by its id. */
struct request {
	const struct event *invoke;
	const struct event *end; /* the first of them */
	uint32_t invokes;
	uint32_t ends;
	uint32_t starts;
	bool has_ticket;
};

struct judgement {
	const struct events *events;
	const struct bounds *bounds;
	struct verdict *verdict;
	GHashTable *requests; /* struct request by id */
};

static const struct event *event_at(const struct judgement *judgement, guint i)
{
	return &g_array_index(judgement->events->all, struct event, i);
}

static guint event_count(const struct judgement *judgement)
{
	return judgement->events->all->len;
}

static const char *name_or(const char *name, const char *otherwise)
{
	return name ? name : otherwise;
}

static void breach(struct judgement *judgement, enum promise promise,
		   const char *format, ...) G_GNUC_PRINTF(3, 4);

static void breach(struct judgement *judgement, enum promise promise,
		   const char *format, ...)
{
	struct verdict *verdict = judgement->verdict;
	va_list values;
	char *text;

	if (verdict->broken[promise]++ >= MOST_FINDINGS)
		return;
	va_start(values, format);
	text = g_strdup_vprintf(format, values);
	va_end(values);
	g_ptr_array_add(verdict->findings,
			g_strdup_printf("%s: %s", promise_names[promise],
					text));
	g_free(text);
}

/*
 * Requests: own answer, not run, at most once
 */

static struct request *request_of(struct judgement *judgement, const char *id)
{
	struct request *request = g_hash_table_lookup(judgement->requests, id);

	if (!request) {
		request = g_new0(struct request, 1);
		g_hash_table_insert(judgement->requests, (gpointer)id, request);
	}
	return request;
}

static void take_request_event(struct judgement *judgement,
			       const struct event *event)
{
	struct request *request;

	if (!event->id || event->kind > EVENT_START)
		return;
	request = request_of(judgement, event->id);
	switch (event->kind) {
	case EVENT_INVOKE:
		request->invoke = event;
		request->invokes++;
		break;
	case EVENT_START:
		request->starts++;
		break;
	default:
		if (!request->ends++)
			request->end = event;
		break;
	}
	if (event->ticket)
		request->has_ticket = true;
}

static void judge_end(struct judgement *judgement, const char *id,
		      const struct request *request)
{
	judgement->verdict->checked[PROMISE_OWN_ANSWER]++;
	if (request->invokes != 1 || request->ends != 1) {
		breach(judgement, PROMISE_OWN_ANSWER,
		       "request %s was made %u times and ended %u times", id,
		       request->invokes, request->ends);
		return;
	}
	if (request->end->kind == EVENT_WRONG)
		breach(judgement, PROMISE_OWN_ANSWER,
		       "request %s got an answer that isn't its own", id);
	if (request->end->kind == EVENT_ANSWER && !request->starts)
		breach(judgement, PROMISE_OWN_ANSWER,
		       "request %s was answered and ran nowhere", id);
}

static void judge_request(struct judgement *judgement, const char *id,
			  const struct request *request)
{
	struct verdict *verdict = judgement->verdict;

	if (request->invokes || request->ends)
		judge_end(judgement, id, request);
	if (request->ends && request->end->kind == EVENT_REFUSED) {
		verdict->checked[PROMISE_NOT_RUN]++;
		if (request->starts)
			breach(judgement, PROMISE_NOT_RUN,
			       "request %s was refused as not run and ran "
			       "%u times",
			       id, request->starts);
	}
	if (request->has_ticket && request->starts) {
		verdict->checked[PROMISE_ONCE]++;
		if (request->starts > 1)
			breach(judgement, PROMISE_ONCE,
			       "request %s ran %u times", id, request->starts);
	}
}

/* One ticket may also have been sent under two ids. */
static void judge_tickets(struct judgement *judgement)
{
	GHashTable *started = g_hash_table_new(NULL, NULL);
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);
		const char *id;

		if (event->kind != EVENT_START || !event->ticket)
			continue;
		id = g_hash_table_lookup(started, event->ticket);
		if (id && id != event->id)
			breach(judgement, PROMISE_ONCE,
			       "ticket %s ran for %s and for %s", event->ticket,
			       id, name_or(event->id, "none"));
		g_hash_table_insert(started, (gpointer)event->ticket,
				    (gpointer)event->id);
	}
	g_hash_table_destroy(started);
}

static void judge_requests(struct judgement *judgement)
{
	GHashTableIter iter;
	gpointer id, request;
	guint i;

	for (i = 0; i < event_count(judgement); i++)
		take_request_event(judgement, event_at(judgement, i));
	g_hash_table_iter_init(&iter, judgement->requests);
	while (g_hash_table_iter_next(&iter, &id, &request))
		judge_request(judgement, id, request);
	judge_tickets(judgement);
}

/*
 * Shifts
 */

/* The largest cap that the shift ever had; 0 where nobody told one. */
static uint64_t cap_of(const struct judgement *judgement, const char *shift)
{
	uint64_t cap = 0;
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->kind == EVENT_SHIFT && event->id == shift)
			cap = MAX(cap, event->number);
	}
	return cap;
}

static void judge_shift(struct judgement *judgement, const char *shift,
			const GArray *times)
{
	uint64_t cap = cap_of(judgement, shift);
	guint i;

	judgement->verdict->checked[PROMISE_SHIFT_CAP] += times->len;
	for (i = 0; i + cap < times->len; i++) {
		uint64_t first = g_array_index(times, uint64_t, i);
		uint64_t last = g_array_index(times, uint64_t, i + cap);

		if (last - first >= WINDOW_US)
			continue;
		breach(judgement, PROMISE_SHIFT_CAP,
		       "shift %s admitted %" PRIu64 " in %" PRIu64
		       " us from %" PRIu64 ", its cap is %" PRIu64,
		       shift, cap + 1, last - first, first, cap);
	}
}

static void judge_shifts(struct judgement *judgement)
{
	GHashTable *shifts = g_hash_table_new_full(
		NULL, NULL, NULL, (GDestroyNotify)g_array_unref);
	GHashTableIter iter;
	gpointer shift, times;
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->kind != EVENT_SHIFT_ADMITTED || !event->id)
			continue;
		times = g_hash_table_lookup(shifts, event->id);
		if (!times) {
			times = g_array_new(FALSE, FALSE, sizeof(uint64_t));
			g_hash_table_insert(shifts, (gpointer)event->id, times);
		}
		g_array_append_val((GArray *)times, event->t_us);
	}
	g_hash_table_iter_init(&iter, shifts);
	while (g_hash_table_iter_next(&iter, &shift, &times))
		judge_shift(judgement, shift, times);
	g_hash_table_destroy(shifts);
}

/*
 * Backend servers: overload and leaving
 */

struct backend {
	const char *name;
	uint64_t slots; /* 0: nobody told */
	GArray *changes; /* struct change */
	bool leaving;
	uint64_t leaving_since_us;
};

/* A run starts or ends. */
struct change {
	uint64_t t_us;
	int step;
};

static void backend_free(gpointer data)
{
	struct backend *backend = data;

	g_array_unref(backend->changes);
	g_free(backend);
}

static struct backend *backend_of(GHashTable *backends, const char *name)
{
	struct backend *backend = g_hash_table_lookup(backends, name);

	if (!backend) {
		backend = g_new0(struct backend, 1);
		backend->name = name;
		backend->changes =
			g_array_new(FALSE, FALSE, sizeof(struct change));
		g_hash_table_insert(backends, (gpointer)name, backend);
	}
	return backend;
}

static void judge_start(struct judgement *judgement,
			const struct backend *backend,
			const struct event *event)
{
	uint64_t bound_us = judgement->bounds->leaving_us;

	if (!backend->leaving)
		return;
	judgement->verdict->checked[PROMISE_LEAVING]++;
	if (event->t_us > backend->leaving_since_us + bound_us)
		breach(judgement, PROMISE_LEAVING,
		       "%s got request %s %" PRIu64 " us after it left",
		       backend->name, name_or(event->id, "none"),
		       event->t_us - backend->leaving_since_us);
}

static void take_backend_event(struct judgement *judgement,
			       struct backend *backend,
			       const struct event *event)
{
	struct change start = { event->start_us, 1 };
	struct change end = { event->t_us, -1 };

	switch (event->kind) {
	case EVENT_SLOTS:
		backend->slots = event->number;
		break;
	case EVENT_LEAVING:
		backend->leaving = true;
		backend->leaving_since_us = event->t_us;
		judgement->verdict->checked[PROMISE_LEAVING]++;
		break;
	case EVENT_RETURNED:
		backend->leaving = false;
		break;
	case EVENT_START:
		judge_start(judgement, backend, event);
		break;
	case EVENT_END:
		g_array_append_val(backend->changes, start);
		g_array_append_val(backend->changes, end);
		break;
	case EVENT_SHED:
		if (event->reason && !strcmp(event->reason, "full"))
			breach(judgement, PROMISE_OVERLOAD,
			       "%s shed request %s because it was full",
			       backend->name, name_or(event->id, "none"));
		break;
	default:
		break;
	}
}

/* At one time, ends come before starts: a slot may pass on at once. */
static gint by_time_and_step(gconstpointer a, gconstpointer b)
{
	const struct change *left = a;
	const struct change *right = b;

	if (left->t_us != right->t_us)
		return left->t_us > right->t_us ? 1 : -1;
	return left->step - right->step;
}

static void judge_backend(struct judgement *judgement, struct backend *backend)
{
	int64_t running = 0;
	guint i;

	if (!backend->slots)
		return;
	g_array_sort(backend->changes, by_time_and_step);
	for (i = 0; i < backend->changes->len; i++) {
		const struct change *change =
			&g_array_index(backend->changes, struct change, i);

		running += change->step;
		if (change->step < 0)
			continue;
		judgement->verdict->checked[PROMISE_OVERLOAD]++;
		if (running > (int64_t)backend->slots)
			breach(judgement, PROMISE_OVERLOAD,
			       "%s ran %" PRId64 " requests in %" PRIu64
			       " slots at %" PRIu64,
			       backend->name, running, backend->slots,
			       change->t_us);
	}
}

static void judge_backends(struct judgement *judgement)
{
	GHashTable *backends =
		g_hash_table_new_full(NULL, NULL, NULL, backend_free);
	GHashTableIter iter;
	gpointer backend;
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->backend)
			take_backend_event(judgement,
					   backend_of(backends, event->backend),
					   event);
	}
	g_hash_table_iter_init(&iter, backends);
	while (g_hash_table_iter_next(&iter, NULL, &backend))
		judge_backend(judgement, backend);
	g_hash_table_destroy(backends);
}

/*
 * Times at which something was wrong outside, and planned stops
 */

static bool is_of_node(const struct event *event, const char *node)
{
	return !node || !event->node || event->node == node;
}

/* When the fault that this event begins was over; UINT64_MAX if never. */
static uint64_t fault_end_us(const struct judgement *judgement, guint from)
{
	const struct event *fault = event_at(judgement, from);
	guint i;

	for (i = from + 1; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->kind == EVENT_FAULT_TO && event->node == fault->node)
			return event->t_us;
	}
	return UINT64_MAX;
}

/* Latest end of a fault of the node within the times; 0 where none is. */
static uint64_t last_fault_end_us(const struct judgement *judgement,
				  const char *node, uint64_t from_us,
				  uint64_t to_us)
{
	uint64_t last_us = 0;
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);
		uint64_t end_us;

		if (event->kind != EVENT_FAULT_FROM || event->t_us > to_us ||
		    !is_of_node(event, node))
			continue;
		end_us = fault_end_us(judgement, i);
		if (end_us >= from_us)
			last_us = MAX(last_us, end_us);
	}
	return last_us;
}

static void judge_cuts(struct judgement *judgement, const char *node,
		       uint64_t from_us, uint64_t to_us)
{
	GHashTableIter iter;
	gpointer id, data;

	g_hash_table_iter_init(&iter, judgement->requests);
	while (g_hash_table_iter_next(&iter, &id, &data)) {
		const struct request *request = data;

		if (!request->invoke || !request->end ||
		    request->end->t_us < from_us ||
		    request->invoke->t_us > to_us)
			continue;
		judgement->verdict->checked[PROMISE_STOP]++;
		if (request->end->cuts &&
		    !last_fault_end_us(judgement, NULL, request->invoke->t_us,
				       request->end->t_us))
			breach(judgement, PROMISE_STOP,
			       "request %s was cut while %s stopped",
			       (const char *)id, node);
	}
}

static void judge_stop(struct judgement *judgement, guint from)
{
	const struct event *stop = event_at(judgement, from);
	guint i;

	for (i = from + 1; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->kind != EVENT_STOPPED || event->node != stop->node)
			continue;
		judgement->verdict->checked[PROMISE_STOP]++;
		if (event->number)
			breach(judgement, PROMISE_STOP,
			       "%s exited with status %" PRIu64, stop->node,
			       event->number);
		judge_cuts(judgement, stop->node, stop->t_us, event->t_us);
		return;
	}
	breach(judgement, PROMISE_STOP, "%s never exited", stop->node);
}

static void judge_stops(struct judgement *judgement)
{
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->kind == EVENT_STOP && event->node)
			judge_stop(judgement, i);
	}
}

/*
 * Configuration
 */

static GHashTable *find_nodes(const struct judgement *judgement)
{
	GHashTable *nodes = g_hash_table_new(NULL, NULL);
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->kind == EVENT_NODE_STARTED && event->node)
			g_hash_table_add(nodes, (gpointer)event->node);
	}
	return nodes;
}

static void judge_reverts(struct judgement *judgement, const char *node)
{
	uint64_t highest = 0;
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->node != node)
			continue;
		if (event->kind == EVENT_NODE_STARTED)
			highest = 0;
		if (event->kind != EVENT_CONFIG_IN_FORCE)
			continue;
		judgement->verdict->checked[PROMISE_CONFIG]++;
		if (event->version < highest)
			breach(judgement, PROMISE_CONFIG,
			       "%s went from version %" PRIu64
			       " back to %" PRIu64,
			       node, highest, event->version);
		highest = MAX(highest, event->version);
	}
}

/* Start of the node's life at this time; 0 if it never started by then. */
static uint64_t life_start_us(const struct judgement *judgement,
			      const char *node, uint64_t by_us)
{
	uint64_t start_us = 0;
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->kind == EVENT_NODE_STARTED && event->node == node &&
		    event->t_us <= by_us)
			start_us = event->t_us;
	}
	return start_us;
}

static bool has_stopped(const struct judgement *judgement, const char *node,
			uint64_t by_us)
{
	bool stopped = false;
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->node != node || event->t_us > by_us)
			continue;
		if (event->kind == EVENT_NODE_STARTED)
			stopped = false;
		if (event->kind == EVENT_STOP)
			stopped = true;
	}
	return stopped;
}

static bool had_version(const struct judgement *judgement, const char *node,
			uint64_t version, uint64_t from_us, uint64_t to_us)
{
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);

		if (event->kind == EVENT_CONFIG_IN_FORCE &&
		    event->node == node && event->version >= version &&
		    event->t_us >= from_us && event->t_us <= to_us)
			return true;
	}
	return false;
}

/* The bound counts from the accepting, or from when nothing was wrong again. */
static void judge_arrival(struct judgement *judgement, const char *node,
			  const struct event *accepted, uint64_t run_end_us)
{
	uint64_t bound_us = judgement->bounds->config_us;
	uint64_t from_us = accepted->t_us;
	uint64_t life_us, fault_us;

	for (;;) {
		fault_us = last_fault_end_us(judgement, node, from_us,
					     from_us + bound_us);
		if (fault_us == UINT64_MAX || fault_us <= from_us)
			break;
		from_us = fault_us;
	}
	life_us = life_start_us(judgement, node, from_us + bound_us);
	from_us = MAX(from_us, life_us);
	if (fault_us == UINT64_MAX || !life_us ||
	    from_us + bound_us > run_end_us ||
	    has_stopped(judgement, node, from_us + bound_us))
		return;
	judgement->verdict->checked[PROMISE_CONFIG]++;
	if (!had_version(judgement, node, accepted->version, life_us,
			 from_us + bound_us))
		breach(judgement, PROMISE_CONFIG,
		       "%s hadn't version %" PRIu64 " %" PRIu64
		       " us after it was accepted or could be had",
		       node, accepted->version, bound_us);
}

static uint64_t run_end_us(const struct judgement *judgement)
{
	guint count = event_count(judgement);

	return count ? event_at(judgement, count - 1)->t_us : 0;
}

/* Two commands can't both have made one version. */
static void judge_versions(struct judgement *judgement)
{
	GHashTable *ids = g_hash_table_new(NULL, NULL);
	guint i;

	for (i = 0; i < event_count(judgement); i++) {
		const struct event *event = event_at(judgement, i);
		gpointer version = (gpointer)(uintptr_t)event->version;
		const char *id;

		if (event->kind != EVENT_ACCEPTED || !event->id)
			continue;
		judgement->verdict->checked[PROMISE_CONFIG]++;
		id = g_hash_table_lookup(ids, version);
		if (id && id != event->id)
			breach(judgement, PROMISE_CONFIG,
			       "commands %s and %s both made version %" PRIu64,
			       id, event->id, event->version);
		g_hash_table_insert(ids, version, (gpointer)event->id);
	}
	g_hash_table_destroy(ids);
}

static void judge_config(struct judgement *judgement)
{
	GHashTable *nodes = find_nodes(judgement);
	uint64_t end_us = run_end_us(judgement);
	GHashTableIter iter;
	gpointer node;
	guint i;

	judge_versions(judgement);
	g_hash_table_iter_init(&iter, nodes);
	while (g_hash_table_iter_next(&iter, &node, NULL)) {
		judge_reverts(judgement, node);
		for (i = 0; i < event_count(judgement); i++)
			if (event_at(judgement, i)->kind == EVENT_ACCEPTED)
				judge_arrival(judgement, node,
					      event_at(judgement, i), end_us);
	}
	g_hash_table_destroy(nodes);
}

const char *promise_name(enum promise promise)
{
	return promise_names[promise];
}

int promise_from_name(const char *name)
{
	int i;

	for (i = 0; i < PROMISE_COUNT; i++)
		if (!strcmp(promise_names[i], name))
			return i;
	return -1;
}

void checker_judge(struct events *events, const struct bounds *bounds,
		   struct verdict *verdict)
{
	struct judgement judgement = { events, bounds, verdict, NULL };

	memset(verdict, 0, sizeof(*verdict));
	verdict->findings = g_ptr_array_new_with_free_func(g_free);
	judgement.requests = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	judge_requests(&judgement);
	judge_shifts(&judgement);
	judge_backends(&judgement);
	judge_stops(&judgement);
	judge_config(&judgement);
	g_hash_table_destroy(judgement.requests);
}

void verdict_release(struct verdict *verdict)
{
	g_ptr_array_unref(verdict->findings);
	verdict->findings = NULL;
}
