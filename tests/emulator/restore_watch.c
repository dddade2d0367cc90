#include "emulator/restore_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "emulator/stay.h"

#define ATTEMPT_ID "Lilacfield-Attempt-Id"

/* The users' bound. */
#define DRAIN_MS 2500

/* From the callers' coming until the copy, and from there to the changes. */
#define COPY_MS 2000
#define LOST_MS 100

/* Between the store's return and its next absence. */
#define BETWEEN_MS 1500

/* Requests that may fail, and one in so many of all. */
#define FAILED_FEW 5
#define FAILED_ONE_IN 50

/* Servers of which each says that it leaves, in order. */
#define LEAVING 2

struct plan {
	uint32_t age_ms;
	uint32_t away_ms;
	uint32_t again_ms;
	uint32_t lost;
	uint32_t changes_ms;
	uint32_t passes;
	uint32_t times;
	uint32_t late_ms;
	bool never_again;
};

struct restore_watch {
	uv_loop_t *loop;
	struct store_stand *store;
	struct stay *callers;
	struct plan plan;
	const struct restore_events *events;
	void *context;
	uv_timer_t timer; /* for the next step */
	uv_timer_t again_timer;
	uv_timer_t late_timer;
	uint32_t returns;
	uint64_t again_at_ms; /* uv_now(); 0: not yet */
	GPtrArray *servers; /* of struct app_stand */
	GHashTable *sent_ms; /* request id -> its time, in ms */
	GHashTable *forgetful; /* addresses of nodes that were stopped */
	uint64_t said_ms[LEAVING]; /* 0: not yet */
	uint32_t late[LEAVING];
	uint64_t latest_ms;
	uint32_t asked;
	uint32_t served;
};

/* --- the judge ---------------------------------------------------------- */

static int server_of(const struct restore_watch *watch, const char *id)
{
	guint i;

	for (i = 0; i < watch->servers->len && i < LEAVING; i++)
		if (!strcmp(app_stand_id(watch->servers->pdata[i]), id))
			return (int)i;
	return -1;
}

/* A node that has started since the word knows it only once it is repeated. */
static uint64_t known_ms(const struct restore_watch *watch, int server,
			 const char *node)
{
	if (server || !g_hash_table_contains(watch->forgetful, node))
		return watch->said_ms[server];
	return watch->again_at_ms;
}

static void on_arrival(void *context, const struct app_arrival *arrival)
{
	struct restore_watch *watch = context;
	const char *id = message_header(arrival->request, ATTEMPT_ID);
	int server = server_of(watch, arrival->app_id);
	uint64_t sent_ms;
	uint64_t word_ms;

	if (!id || server < 0)
		return;
	sent_ms = GPOINTER_TO_SIZE(g_hash_table_lookup(watch->sent_ms, id));
	word_ms = known_ms(watch, server, arrival->from);
	if (!sent_ms || !word_ms || sent_ms <= word_ms + DRAIN_MS)
		return;
	watch->late[server]++;
	watch->latest_ms = MAX(watch->latest_ms, sent_ms - word_ms);
}

static void on_sent(void *context, const struct stay_request *request)
{
	struct restore_watch *watch = context;

	g_hash_table_replace(watch->sent_ms, g_strdup(request->id),
			     GSIZE_TO_POINTER(request->sent_ms));
}

static void on_ended(void *context, const struct stay_request *request,
		     const struct message *answer)
{
	struct restore_watch *watch = context;

	g_hash_table_remove(watch->sent_ms, request->id);
	if (g_hash_table_contains(watch->forgetful,
				  request->node->front.address))
		return;
	watch->asked++;
	watch->served += answer && answer->status == 200;
}

static const struct stay_events caller_events = { on_sent, on_ended };

/* --- the plan ----------------------------------------------------------- */

static bool read_entry(struct plan *plan, const char *entry)
{
	const struct {
		const char *key;
		uint32_t *value;
	} fields[] = {
		{ "age=", &plan->age_ms },
		{ "away=", &plan->away_ms },
		{ "again=", &plan->again_ms },
		{ "passes=", &plan->passes },
		{ "lost=", &plan->lost },
		{ "changes=", &plan->changes_ms },
		{ "times=", &plan->times },
		{ "late=", &plan->late_ms },
	};
	size_t i;

	if (!strcmp(entry, "again=never")) {
		plan->never_again = true;
		return true;
	}
	for (i = 0; i < G_N_ELEMENTS(fields); i++) {
		guint64 number;

		if (!g_str_has_prefix(entry, fields[i].key))
			continue;
		if (!g_ascii_string_to_unsigned(entry + strlen(fields[i].key),
						10, 0, 60000, &number, NULL))
			return false;
		*fields[i].value = (uint32_t)number;
		return true;
	}
	return false;
}

static bool read_plan(struct plan *plan, const char *text)
{
	char **entries = g_strsplit(text, ",", -1);
	bool valid = true;
	char **at;

	plan->age_ms = 3000;
	plan->away_ms = 2500;
	plan->again_ms = 300;
	plan->lost = 60;
	plan->changes_ms = 3000;
	plan->times = 1;
	for (at = entries; *at; at++)
		valid = valid && read_entry(plan, *at);
	g_strfreev(entries);
	return valid;
}

static void step_later(struct restore_watch *watch, uv_timer_cb step,
		       uint64_t delay_ms)
{
	uv_timer_start(&watch->timer, step, delay_ms, 0);
}

static void let_leave(struct restore_watch *watch, unsigned server)
{
	watch->said_ms[server] = uv_now(watch->loop);
	watch->events->leave(watch->context, server);
}

static void on_again(uv_timer_t *timer)
{
	struct restore_watch *watch = timer->data;

	watch->again_at_ms = uv_now(watch->loop);
	watch->events->write_again(watch->context);
}

static void cut_late_nodes(struct restore_watch *watch, bool cut)
{
	const GPtrArray *nodes = stay_nodes(watch->callers);
	guint i;

	for (i = 0; i < nodes->len; i += 2) {
		const struct stay_node *node = nodes->pdata[i];

		watch->events->cut_node(watch->context, node->front.address,
					cut);
	}
}

static void on_late(uv_timer_t *timer)
{
	cut_late_nodes(timer->data, false);
}

static void on_changes(uv_timer_t *timer)
{
	struct restore_watch *watch = timer->data;

	watch->events->add_route(watch->context);
	let_leave(watch, 1);
}

static void change_others(struct restore_watch *watch, uint32_t changes)
{
	uint32_t i;

	for (i = 0; i < changes; i++)
		store_stand_put(watch->store, "status", "any", "{}");
}

static void on_away(uv_timer_t *timer);

static bool is_last_return(const struct restore_watch *watch)
{
	return watch->returns >= watch->plan.times;
}

static void on_return(uv_timer_t *timer)
{
	struct restore_watch *watch = timer->data;
	const struct plan *plan = &watch->plan;

	store_stand_restore(watch->store);
	watch->returns++;
	if (is_last_return(watch) && !plan->changes_ms)
		on_changes(timer);
	change_others(watch, plan->passes);
	watch->events->go_away(watch->context, false);
	uv_timer_start(&watch->late_timer, on_late, plan->late_ms, 0);
	if (!plan->never_again)
		uv_timer_start(&watch->again_timer, on_again, plan->again_ms,
			       0);
	if (!is_last_return(watch))
		step_later(watch, on_away, BETWEEN_MS);
	else if (plan->changes_ms)
		step_later(watch, on_changes, plan->changes_ms + plan->late_ms);
}

static void on_away(uv_timer_t *timer)
{
	struct restore_watch *watch = timer->data;

	uv_timer_stop(&watch->again_timer);
	watch->events->go_away(watch->context, true);
	if (watch->plan.late_ms)
		cut_late_nodes(watch, true);
	step_later(watch, on_return, watch->plan.away_ms);
}

static void on_lost_changes(uv_timer_t *timer)
{
	struct restore_watch *watch = timer->data;

	change_others(watch, watch->plan.lost);
	watch->events->add_route(watch->context);
	let_leave(watch, 0);
	step_later(watch, on_away, watch->plan.age_ms - LOST_MS);
}

static void on_copy(uv_timer_t *timer)
{
	struct restore_watch *watch = timer->data;

	store_stand_copy(watch->store);
	step_later(watch, on_lost_changes, LOST_MS);
}

struct restore_watch *
restore_watch_new(uv_loop_t *loop, struct store_stand *store, const char *plan,
		  const struct restore_events *events, void *context)
{
	struct restore_watch *watch = g_new0(struct restore_watch, 1);

	if (!read_plan(&watch->plan, plan) || watch->plan.age_ms < LOST_MS) {
		g_free(watch);
		return NULL;
	}
	watch->loop = loop;
	watch->store = store;
	watch->events = events;
	watch->context = context;
	watch->servers = g_ptr_array_new();
	watch->sent_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watch->forgetful =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watch->callers = stay_new(loop, store, "back", &caller_events, watch);
	return watch;
}

void restore_watch_service(struct restore_watch *watch, const char *name,
			   bool once)
{
	stay_add_service(watch->callers, name, once);
}

void restore_watch_add(struct restore_watch *watch, struct app_stand *stand)
{
	g_ptr_array_add(watch->servers, stand);
	app_stand_watch_arrivals(stand, on_arrival, watch);
}

void restore_watch_begin(struct restore_watch *watch)
{
	uv_timer_t *const timers[] = { &watch->timer, &watch->again_timer,
				       &watch->late_timer };
	const GPtrArray *nodes;
	guint i;

	for (i = 0; i < G_N_ELEMENTS(timers); i++) {
		uv_timer_init(watch->loop, timers[i]);
		timers[i]->data = watch;
	}
	stay_begin(watch->callers);
	nodes = stay_nodes(watch->callers);
	for (i = 0; i < nodes->len; i++) {
		const struct stay_node *node = nodes->pdata[i];

		watch->events->node_up(watch->context, node->name,
				       &node->front);
	}
	step_later(watch, on_copy, COPY_MS);
}

void restore_watch_down(struct restore_watch *watch, const char *node)
{
	const GPtrArray *nodes = stay_nodes(watch->callers);
	guint i;

	for (i = 0; i < nodes->len; i++) {
		const struct stay_node *at = nodes->pdata[i];

		if (!strcmp(at->name, node))
			g_hash_table_add(watch->forgetful,
					 g_strdup(at->front.address));
	}
}

void restore_watch_end(struct restore_watch *watch)
{
	stay_end(watch->callers);
}

bool restore_watch_report(const struct restore_watch *watch)
{
	uint32_t failed = watch->asked - watch->served;
	bool done = watch->said_ms[LEAVING - 1] > 0;

	printf("the store came back %u times, changes after it: %s\n"
	       "requests at leaving servers, sent later than %u ms after their "
	       "word: %u and %u, the latest %" PRIu64 " ms after it\n"
	       "of %u requests %u were served\n",
	       watch->returns, done ? "yes" : "no", DRAIN_MS, watch->late[0],
	       watch->late[1], watch->latest_ms, watch->asked, watch->served);
	return !done || watch->late[0] || watch->late[1] || !watch->asked ||
	       failed > FAILED_FEW + watch->asked / FAILED_ONE_IN;
}
