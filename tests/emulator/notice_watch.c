#include "emulator/notice_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "emulator/stay.h"

#define ATTEMPT_ID "Lilacfield-Attempt-Id"
#define LEAVING "Server-Leaving"

/* The users' bounds. */
#define DRAIN_MS 2500
#define REST_SETTLE_MS 500
#define REST_MOST 2

/* Requests are judged as served or refused from so long after the begin. */
#define JUDGED_AFTER_MS 1000

/* After the end: a rest that was asked for last, and what nodes add. */
#define RETURN_MS 4000

/* Where servers are left: requests that may fail, and one in so many of all. */
#define FAILED_FEW 5
#define FAILED_ONE_IN 50

/* Where none is left: the longest time until a refusal. */
#define REFUSED_WITHIN_MS 500

enum kind { KIND_LEAVING, KIND_REST };

struct rest {
	uint64_t from_ms;
	uint64_t until_ms;
	uint32_t arrived;
};

/* What a node sent to a server. */
struct pair {
	uint64_t passed_ms; /* an answer that says "leaving"; 0: none yet */
	uint32_t late; /* requests sent too late after that */
	uint64_t latest_ms; /* of these, after passed_ms */
	GArray *rests; /* of struct rest, that aren't over */
	uint32_t most; /* requests within a rest */
	uint32_t broken_rests;
};

/* Where a request arrived last. */
struct visit {
	char *server;
	char *node;
};

struct notice_watch {
	uv_loop_t *loop;
	struct stay *callers;
	enum kind kind;
	char count[8];
	char value[16];
	char more[16];
	uint64_t at_ms;
	uint64_t for_ms;
	uv_timer_t begins;
	uv_timer_t ends;
	uint64_t began_ms; /* 0: not yet */
	uint64_t ended_ms;
	GPtrArray *servers; /* of struct app_stand */
	GHashTable *pairs; /* "NODE SERVER" -> struct pair */
	GHashTable *sent_ms; /* request id -> its time, in ms */
	GHashTable *visits; /* request id -> struct visit */
	uint32_t noticed; /* requests that reached a server that does so */
	uint32_t asked; /* requests judged */
	uint32_t served;
	uint32_t refused;
	uint64_t slowest_refusal_ms;
	uint32_t asked_after; /* once the notices are over */
	uint32_t served_after;
};

/* --- what arrives ------------------------------------------------------- */

static void visit_free(gpointer data)
{
	struct visit *visit = data;

	g_free(visit->server);
	g_free(visit->node);
	g_free(visit);
}

static struct pair *pair_of(struct notice_watch *watch, const char *node,
			    const char *server)
{
	char *key = g_strdup_printf("%s %s", node, server);
	struct pair *pair = g_hash_table_lookup(watch->pairs, key);

	if (pair) {
		g_free(key);
		return pair;
	}
	pair = g_new0(struct pair, 1);
	pair->rests = g_array_new(FALSE, TRUE, sizeof(struct rest));
	g_hash_table_insert(watch->pairs, key, pair);
	return pair;
}

static void count_in_rests(struct pair *pair, uint64_t now_ms)
{
	guint i;

	for (i = pair->rests->len; i > 0; i--) {
		struct rest *rest =
			&g_array_index(pair->rests, struct rest, i - 1);

		if (now_ms > rest->until_ms) {
			g_array_remove_index_fast(pair->rests, i - 1);
		} else if (now_ms >= rest->from_ms) {
			rest->arrived++;
			pair->most = MAX(pair->most, rest->arrived);
			pair->broken_rests += rest->arrived == REST_MOST + 1;
		}
	}
}

static void add_rest(struct notice_watch *watch, struct pair *pair,
		     uint64_t now_ms)
{
	const double rest_ms = g_ascii_strtod(watch->value, NULL) * 1000;
	const struct rest rest = { now_ms + REST_SETTLE_MS,
				   now_ms + (uint64_t)rest_ms, 0 };

	if (rest.until_ms > rest.from_ms)
		g_array_append_val(pair->rests, rest);
}

static void judge_leaving(struct notice_watch *watch, struct pair *pair,
			  const char *id)
{
	uint64_t sent_ms =
		GPOINTER_TO_SIZE(g_hash_table_lookup(watch->sent_ms, id));

	if (!sent_ms || !pair->passed_ms ||
	    sent_ms <= pair->passed_ms + DRAIN_MS)
		return;
	pair->late++;
	pair->latest_ms = MAX(pair->latest_ms, sent_ms - pair->passed_ms);
}

static void on_arrival(void *context, const struct app_arrival *arrival)
{
	struct notice_watch *watch = context;
	const char *id = message_header(arrival->request, ATTEMPT_ID);
	struct pair *pair = pair_of(watch, arrival->from, arrival->app_id);
	uint64_t now_ms = uv_now(watch->loop);
	struct visit *visit;

	count_in_rests(pair, now_ms);
	watch->noticed += arrival->says_leaving || arrival->turned_away;
	if (arrival->turned_away)
		add_rest(watch, pair, now_ms);
	if (!id)
		return;
	judge_leaving(watch, pair, id);
	visit = g_new0(struct visit, 1);
	visit->server = g_strdup(arrival->app_id);
	visit->node = g_strdup(arrival->from);
	g_hash_table_replace(watch->visits, g_strdup(id), visit);
}

/* --- what callers see --------------------------------------------------- */

static void on_sent(void *context, const struct stay_request *request)
{
	struct notice_watch *watch = context;

	g_hash_table_replace(watch->sent_ms, g_strdup(request->id),
			     GSIZE_TO_POINTER(request->sent_ms));
}

/* Over a hop both nodes have passed it on. */
static void note_passed_on(struct notice_watch *watch,
			   const struct stay_request *request)
{
	const struct visit *visit =
		g_hash_table_lookup(watch->visits, request->id);
	const char *nodes[2];
	size_t i;

	if (!visit)
		return;
	nodes[0] = visit->node;
	nodes[1] = request->node->front.address;
	for (i = 0; i < G_N_ELEMENTS(nodes); i++) {
		struct pair *pair = pair_of(watch, nodes[i], visit->server);

		if (!pair->passed_ms)
			pair->passed_ms = uv_now(watch->loop);
	}
}

static void count_result(struct notice_watch *watch,
			 const struct stay_request *request,
			 const struct message *answer)
{
	uint64_t sent_ms = request->sent_ms;
	bool served = answer && answer->status == 200;

	if (watch->ended_ms && sent_ms >= watch->ended_ms + RETURN_MS) {
		watch->asked_after++;
		watch->served_after += served;
	} else if (watch->began_ms && !watch->ended_ms &&
		   sent_ms >= watch->began_ms + JUDGED_AFTER_MS) {
		watch->asked++;
		watch->served += served;
		if (!answer || answer->status != 503)
			return;
		watch->refused++;
		watch->slowest_refusal_ms = MAX(watch->slowest_refusal_ms,
						uv_now(watch->loop) - sent_ms);
	}
}

static void on_ended(void *context, const struct stay_request *request,
		     const struct message *answer)
{
	struct notice_watch *watch = context;

	if (answer && message_header(answer, LEAVING))
		note_passed_on(watch, request);
	count_result(watch, request, answer);
	g_hash_table_remove(watch->visits, request->id);
	g_hash_table_remove(watch->sent_ms, request->id);
}

static const struct stay_events caller_events = { on_sent, on_ended };

/* --- the plan ----------------------------------------------------------- */

static guint servers_meant(const struct notice_watch *watch)
{
	guint all = watch->servers->len;

	if (!strcmp(watch->count, "all"))
		return all;
	if (!strcmp(watch->count, "half"))
		return all / 2;
	return MIN(all, (guint)atoi(watch->count));
}

static struct app_notices planned_notices(const struct notice_watch *watch)
{
	struct app_notices notices = { 0 };

	if (watch->kind == KIND_LEAVING) {
		notices.leaving_one_in = (uint32_t)atoi(watch->value);
	} else {
		notices.turns_away_one_in =
			*watch->more ? (uint32_t)atoi(watch->more) : 1;
		notices.retry_after = watch->value;
	}
	return notices;
}

static void set_notices(struct notice_watch *watch,
			const struct app_notices *notices, bool errors)
{
	guint i;

	for (i = 0; i < servers_meant(watch); i++) {
		struct app_stand *stand = watch->servers->pdata[i];

		app_stand_set_notices(stand, notices);
		app_stand_set_fault(stand, errors ? APP_FAIL : APP_GOOD);
	}
}

static void on_begin(uv_timer_t *timer)
{
	struct notice_watch *watch = timer->data;
	const struct app_notices notices = planned_notices(watch);

	watch->began_ms = uv_now(watch->loop);
	set_notices(watch, &notices, !strcmp(watch->more, "errors"));
}

static void on_end(uv_timer_t *timer)
{
	static const struct app_notices none;
	struct notice_watch *watch = timer->data;

	watch->ended_ms = uv_now(watch->loop);
	set_notices(watch, &none, false);
}

static bool read_plan(struct notice_watch *watch, const char *plan)
{
	char kind[8];
	unsigned at_s;
	unsigned for_s;
	char **parts = g_strsplit(plan, "@", 2);
	bool read = parts[0] && parts[1] &&
		    sscanf(parts[0], "%7[a-z]:%7[a-z0-9]:%15[0-9.]:%15[a-z0-9]",
			   kind, watch->count, watch->value,
			   watch->more) >= 3 &&
		    sscanf(parts[1], "%u:%u", &at_s, &for_s) == 2;

	g_strfreev(parts);
	if (!read ||
	    (strcmp(kind, "leaving") != 0 && strcmp(kind, "rest") != 0))
		return false;
	watch->kind = *kind == 'l' ? KIND_LEAVING : KIND_REST;
	watch->at_ms = at_s * 1000ull;
	watch->for_ms = for_s * 1000ull;
	return true;
}

struct notice_watch *notice_watch_new(uv_loop_t *loop, struct store_stand *rows,
				      const char *plan, const char *service,
				      bool once)
{
	struct notice_watch *watch = g_new0(struct notice_watch, 1);

	if (!read_plan(watch, plan)) {
		g_free(watch);
		return NULL;
	}
	watch->loop = loop;
	watch->servers = g_ptr_array_new();
	watch->pairs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watch->sent_ms =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	watch->visits = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      visit_free);
	watch->callers = stay_new(loop, rows, "note", &caller_events, watch);
	stay_add_service(watch->callers, service, once);
	return watch;
}

void notice_watch_add(struct notice_watch *watch, struct app_stand *stand)
{
	g_ptr_array_add(watch->servers, stand);
	app_stand_watch_arrivals(stand, on_arrival, watch);
}

void notice_watch_begin(struct notice_watch *watch)
{
	stay_begin(watch->callers);
	uv_timer_init(watch->loop, &watch->begins);
	uv_timer_init(watch->loop, &watch->ends);
	watch->begins.data = watch;
	watch->ends.data = watch;
	uv_timer_start(&watch->begins, on_begin, watch->at_ms, 0);
	uv_timer_start(&watch->ends, on_end, watch->at_ms + watch->for_ms, 0);
}

void notice_watch_end(struct notice_watch *watch)
{
	stay_end(watch->callers);
}

/* --- the judge ---------------------------------------------------------- */

static bool report_pairs(const struct notice_watch *watch)
{
	uint32_t late = 0;
	uint32_t most = 0;
	uint32_t broken = 0;
	uint32_t told = 0;
	uint64_t latest_ms = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, watch->pairs);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pair *pair = value;

		told += pair->passed_ms > 0;
		late += pair->late;
		latest_ms = MAX(latest_ms, pair->latest_ms);
		most = MAX(most, pair->most);
		broken += pair->broken_rests;
	}
	printf("\"leaving\" passed on for %u pairs of node and server; requests "
	       "there, sent later than %u ms after it: %u, the latest %" PRIu64
	       " ms after it\n",
	       told, DRAIN_MS, late, latest_ms);
	printf("%u requests reached a server that says it leaves, or were "
	       "turned away\n"
	       "from one node within a rest: %u at most; rests with more than "
	       "%u: %u\n",
	       watch->noticed, most, REST_MOST, broken);
	return late || broken || !watch->noticed;
}

static bool is_enough(uint32_t served, uint32_t asked)
{
	return asked && asked - served <= FAILED_FEW + asked / FAILED_ONE_IN;
}

bool notice_watch_report(const struct notice_watch *watch)
{
	bool none_left = servers_meant(watch) == watch->servers->len;
	bool broken = report_pairs(watch);

	printf("meanwhile %u of %u requests were served, %u refused within "
	       "%" PRIu64 " ms; afterwards %u of %u served\n",
	       watch->served, watch->asked, watch->refused,
	       watch->slowest_refusal_ms, watch->served_after,
	       watch->asked_after);
	if (none_left)
		broken |= watch->slowest_refusal_ms > REFUSED_WITHIN_MS;
	else
		broken |= !is_enough(watch->served, watch->asked);
	/* A server that said "leaving" gets nothing until it has restarted. */
	if (watch->kind == KIND_REST || !none_left)
		broken |= !is_enough(watch->served_after, watch->asked_after);
	return broken;
}
