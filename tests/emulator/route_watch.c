#include "emulator/route_watch.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "core/duration.h"
#include "edge/link.h"

/*
 * So many nodes are called each so often, in turn, but for those whose last
 * call is still out: 160 calls a second, a quarter of what the servers can do.
 */
#define PROBE_MS 60
#define PROBES_AT_ONCE 10

/* A call goes unanswered after the route's time-out, 2.5 s, and some more. */
#define PROBE_DEADLINE_US (3500 * US_PER_MS)

/* At the end a node has served what was due for so long. */
#define SETTLED_US (1500 * US_PER_MS)

/*
 * The emulator's loop that comes by so late stood still, and its store and
 * links brought nothing: routes are due by so much later. From CUT_OFF_US on
 * nodes may have given up answers that had stopped, which they do after 1 s, so
 * they count as cut off.
 */
#define STALL_US (330 * US_PER_MS)
#define CUT_OFF_US (700 * US_PER_MS)

/* Half of the calls are for the newest routes, the rest for these batches. */
#define NEWEST_BATCHES 4

/* A row's value goes over the wire in base64. */
#define WIRE_BYTES(bytes) ((bytes)*4 / 3)

/* Failed checks that are told one by one. */
#define TOLD_MOST 40

/* Routes that came with one version of the document. */
struct batch {
	char *name;
	uint32_t count;
	uint64_t document_bytes;
	uint64_t added_us;
	uint64_t stood_us; /* what the emulator had stood still by then */
};

struct watched {
	struct route_watch *watch;
	char *name;
	struct endpoint front;
	uint64_t bytes_per_s; /* of its link to the store; 0: any */
	uint64_t up_us; /* runs since then; 0: doesn't run */
	struct probe *probe; /* its connection, or NULL */
	guint served; /* batches of which a route was served since up_us */
	uint64_t slowest_us; /* from a route's coming to its first answer */
};

/* A connection of calls to a node, one at a time. */
struct probe {
	struct link link; /* first member */
	struct watched *node; /* NULL once it is given up */
	bool busy;
	guint batch; /* of the call that is out */
	uint64_t sent_us;
	char *id;
	GString *request; /* waits for the connection */
};

struct route_watch {
	uv_loop_t *loop;
	uv_timer_t timer;
	GArray *batches; /* of struct batch */
	GPtrArray *nodes; /* of struct watched */
	bool cut; /* the store can't be reached */
	uint64_t reached_us; /* since then it can */
	uint64_t turned_us; /* the emulator's loop came by last */
	uint64_t turned_cpu_us; /* and had used so much of a processor */
	uint64_t longest_stall_us;
	uint64_t stall_cpu_us; /* of that, at work */
	uint64_t stood_us; /* in all stalls */
	uint32_t stalls;
	uint64_t end_us;
	guint next; /* of the nodes, to be called */
	uint64_t number; /* of calls */
	uint32_t answered;
	uint32_t denied;
	uint32_t unserved;
};

static uint64_t now_us(void)
{
	return uv_hrtime() / 1000;
}

static const struct batch *batch_at(const struct route_watch *watch, guint i)
{
	return &g_array_index(watch->batches, struct batch, i);
}

/* --- when routes are due ------------------------------------------------ */

static uint64_t transfer_us(const struct watched *node, guint batch)
{
	uint64_t bytes = batch_at(node->watch, batch)->document_bytes;

	return node->bytes_per_s ?
		       WIRE_BYTES(bytes) * US_PER_S / node->bytes_per_s :
		       0;
}

/*
 * What the node's link needs for a batch: its document, or the one that has
 * replaced it, after the document before it where that may be arriving still.
 */
static uint64_t link_time_us(const struct watched *node, guint batch)
{
	const struct route_watch *watch = node->watch;
	uint64_t need_us = transfer_us(node, watch->batches->len - 1);
	uint64_t before_us;
	uint64_t gap_us;

	if (!batch)
		return need_us;
	before_us = transfer_us(node, batch - 1);
	gap_us = batch_at(watch, batch)->added_us -
		 batch_at(watch, batch - 1)->added_us;
	return gap_us < ROUTE_WITHIN_US + before_us ? need_us + before_us :
						      need_us;
}

/* From when on the node serves the batch's routes; UINT64_MAX: not known. */
static uint64_t due_us(const struct watched *node, guint batch)
{
	const struct route_watch *watch = node->watch;
	uint64_t able_us = MAX(node->up_us, watch->reached_us);
	uint64_t within_us =
		MAX(batch_at(watch, batch)->added_us + ROUTE_WITHIN_US,
		    able_us + ROUTE_RECOVER_US);

	if (!node->up_us || watch->cut)
		return UINT64_MAX;
	return within_us + link_time_us(node, batch) + watch->stood_us -
	       batch_at(watch, batch)->stood_us;
}

/* --- judging ------------------------------------------------------------ */

static void tell(const struct probe *probe, const char *what, unsigned status,
		 const char *cause)
{
	const struct route_watch *watch = probe->node->watch;
	const struct batch *batch = batch_at(watch, probe->batch);

	if (watch->denied + watch->unserved > TOLD_MOST)
		return;
	fprintf(stderr,
		"route-watch: %s call=%s node=%s batch=%s status=%u "
		"cause=\"%s\" sent %" PRIu64 " ms after its version\n",
		what, probe->id, probe->node->name, batch->name, status, cause,
		(probe->sent_us - batch->added_us) / US_PER_MS);
}

static void judge_denied(struct probe *probe, unsigned status,
			 const char *cause)
{
	struct route_watch *watch = probe->node->watch;
	const struct batch *batch = batch_at(watch, probe->batch);

	if (status < 300 || status >= 500 || status == 429 ||
	    probe->sent_us <= batch->added_us + ROUTE_WITHIN_US)
		return;
	watch->denied++;
	tell(probe, "denied", status, cause);
}

/* The call wasn't served though its routes were due when it was sent. */
static void judge_unserved(struct probe *probe, unsigned status,
			   const char *cause)
{
	if (probe->sent_us <= due_us(probe->node, probe->batch))
		return;
	probe->node->watch->unserved++;
	tell(probe, "unserved", status, cause);
}

static void take_served(struct probe *probe)
{
	struct watched *node = probe->node;
	const struct batch *batch = batch_at(node->watch, probe->batch);
	uint64_t took_us = probe->sent_us - batch->added_us;

	if (!node->up_us || probe->sent_us < node->up_us ||
	    probe->batch < node->served)
		return;
	node->served = probe->batch + 1;
	if (MAX(node->up_us, node->watch->reached_us) < batch->added_us)
		node->slowest_us = MAX(node->slowest_us, took_us);
}

/* --- calls -------------------------------------------------------------- */

static void let_go(struct probe *probe)
{
	probe->node->probe = NULL;
	probe->node = NULL;
	link_close(&probe->link);
}

static void on_answered(struct link *link, struct message *answer)
{
	struct probe *probe = (struct probe *)link;
	char *cause =
		g_strndup((const char *)answer->body->data, answer->body->len);

	g_strdelimit(cause, "\r\n", '\0');
	if (probe->node) {
		probe->busy = false;
		probe->node->watch->answered++;
		judge_denied(probe, answer->status, cause);
		if (answer->status == 200)
			take_served(probe);
		else if (g_str_has_suffix(cause, "unconfirmed") ||
			 answer->status == 404)
			judge_unserved(probe, answer->status, cause);
		if (!answer->keep_alive)
			let_go(probe);
	}
	g_free(cause);
	message_free(answer);
}

static void on_opened(struct link *link)
{
	struct probe *probe = (struct probe *)link;
	GString *request = probe->request;

	probe->request = NULL;
	link_send(link, request, false);
}

/* A connection at rest may end at any time; one with a call may not. */
static void on_ended(struct link *link, const char *cause)
{
	struct probe *probe = (struct probe *)link;

	if (!probe->node) {
		link_close(link);
		return;
	}
	if (probe->busy)
		judge_unserved(probe, 0, cause);
	let_go(probe);
}

static void on_released(struct link *link)
{
	struct probe *probe = (struct probe *)link;

	if (probe->request)
		g_string_free(probe->request, TRUE);
	g_free(probe->id);
	g_free(probe);
}

static const struct link_vtable link_events = {
	.opened = on_opened,
	.answered = on_answered,
	.ended = on_ended,
	.released = on_released,
};

static guint choose_batch(const struct route_watch *watch)
{
	guint newest = watch->batches->len - 1;

	if (g_random_boolean())
		return newest;
	return newest -
	       (guint)g_random_int_range(0, (gint32)MIN(watch->batches->len,
							NEWEST_BATCHES));
}

static GString *compose(struct probe *probe)
{
	struct route_watch *watch = probe->node->watch;
	const struct batch *batch;
	GString *text = g_string_new(NULL);

	probe->batch = choose_batch(watch);
	probe->sent_us = now_us();
	probe->busy = true;
	g_free(probe->id);
	probe->id = g_strdup_printf("w%" PRIu64, ++watch->number);
	batch = batch_at(watch, probe->batch);
	g_string_append_printf(text,
			       "GET /%s-%d/x HTTP/1.1\r\n"
			       "Host: demo.example\r\n"
			       "Lilacfield-Attempt-Id: %s\r\n"
			       "Lilacfield-Deadline-Ms: 2500\r\n\r\n",
			       batch->name,
			       g_random_int_range(0, (gint32)batch->count),
			       probe->id);
	return text;
}

static void open_probe(struct watched *node)
{
	static const struct message_limits limits = { 65536, 1048576 };
	struct probe *probe = g_new0(struct probe, 1);

	probe->node = node;
	node->probe = probe;
	probe->request = compose(probe);
	if (link_open(&probe->link, &link_events, node->watch->loop,
		      &node->front, &limits))
		on_ended(&probe->link, "open");
}

static void call_node(struct watched *node)
{
	struct probe *probe = node->probe;

	if (!probe) {
		open_probe(node);
	} else if (!probe->busy) {
		link_send(&probe->link, compose(probe), false);
	} else if (now_us() - probe->sent_us > PROBE_DEADLINE_US) {
		judge_unserved(probe, 0, "no answer");
		let_go(probe);
	}
}

static uint64_t cpu_us(void)
{
	return (uint64_t)clock() * US_PER_S / CLOCKS_PER_SEC;
}

static void note_stall(struct route_watch *watch)
{
	uint64_t stood_us = now_us() - watch->turned_us;
	uint64_t worked_us = cpu_us() - watch->turned_cpu_us;

	watch->turned_us += stood_us;
	watch->turned_cpu_us += worked_us;
	if (stood_us > watch->longest_stall_us) {
		watch->longest_stall_us = stood_us;
		watch->stall_cpu_us = worked_us;
	}
	if (stood_us < STALL_US)
		return;
	watch->stalls++;
	watch->stood_us += stood_us;
	if (stood_us >= CUT_OFF_US)
		watch->reached_us = now_us();
}

static void on_timer(uv_timer_t *timer)
{
	struct route_watch *watch = timer->data;
	guint i;

	note_stall(watch);
	if (!watch->batches->len)
		return;
	for (i = 0; i < MIN(watch->nodes->len, PROBES_AT_ONCE); i++) {
		struct watched *node =
			watch->nodes->pdata[watch->next++ % watch->nodes->len];

		if (node->front.port)
			call_node(node);
	}
}

/* --- from outside ------------------------------------------------------- */

struct route_watch *route_watch_new(uv_loop_t *loop)
{
	struct route_watch *watch = g_new0(struct route_watch, 1);

	watch->loop = loop;
	watch->turned_us = now_us();
	watch->turned_cpu_us = cpu_us();
	watch->batches = g_array_new(FALSE, TRUE, sizeof(struct batch));
	watch->nodes = g_ptr_array_new();
	uv_timer_init(loop, &watch->timer);
	watch->timer.data = watch;
	uv_timer_start(&watch->timer, on_timer, PROBE_MS, PROBE_MS);
	return watch;
}

void route_watch_added(struct route_watch *watch, const char *name,
		       uint32_t count, uint64_t document_bytes)
{
	struct batch batch = {
		.name = g_strdup(name),
		.count = count,
		.document_bytes = document_bytes,
		.added_us = now_us(),
		.stood_us = watch->stood_us,
	};

	g_array_append_val(watch->batches, batch);
}

static struct watched *node_of(struct route_watch *watch, const char *name)
{
	struct watched *node;
	guint i;

	for (i = 0; i < watch->nodes->len; i++) {
		node = watch->nodes->pdata[i];
		if (!strcmp(node->name, name))
			return node;
	}
	node = g_new0(struct watched, 1);
	node->watch = watch;
	node->name = g_strdup(name);
	g_ptr_array_add(watch->nodes, node);
	return node;
}

void route_watch_link(struct route_watch *watch, const char *node,
		      uint64_t bytes_per_s)
{
	node_of(watch, node)->bytes_per_s = bytes_per_s;
}

void route_watch_up(struct route_watch *watch, const char *node,
		    const struct endpoint *front)
{
	struct watched *watched = node_of(watch, node);

	watched->front = *front;
	watched->up_us = now_us();
	watched->served = 0;
}

void route_watch_down(struct route_watch *watch, const char *node)
{
	node_of(watch, node)->up_us = 0;
}

void route_watch_cut(struct route_watch *watch, bool cut)
{
	watch->cut = cut;
	watch->reached_us = now_us();
}

void route_watch_end(struct route_watch *watch)
{
	uv_timer_stop(&watch->timer);
	watch->end_us = now_us();
}

/* Batches that were due long enough before the end. */
static guint settled_batches(const struct watched *node)
{
	guint i = node->watch->batches->len;

	while (i && (due_us(node, i - 1) == UINT64_MAX ||
		     due_us(node, i - 1) + SETTLED_US > node->watch->end_us))
		i--;
	return i;
}

bool route_watch_report(const struct route_watch *watch)
{
	uint32_t unserved = watch->unserved;
	uint64_t slowest_us[2] = { 0 }; /* over a wide and a narrow link */
	guint i;

	for (i = 0; i < watch->nodes->len; i++) {
		const struct watched *node = watch->nodes->pdata[i];
		uint64_t *slowest = &slowest_us[node->bytes_per_s > 0];
		guint settled = settled_batches(node);

		*slowest = MAX(*slowest, node->slowest_us);
		if (node->served >= settled)
			continue;
		unserved++;
		fprintf(stderr,
			"route-watch: node=%s served %u of %u versions at the "
			"end\n",
			node->name, node->served, settled);
	}
	printf("routes: %u versions, calls answered %u, denied %u, unserved "
	       "%u\n"
	       "first served after at most %" PRIu64 " ms, over narrow links "
	       "%" PRIu64 " ms\n"
	       "the emulator stood still %u times, for at most %" PRIu64
	       " ms, %" PRIu64 " ms of them at work\n",
	       watch->batches->len, watch->answered, watch->denied, unserved,
	       slowest_us[0] / US_PER_MS, slowest_us[1] / US_PER_MS,
	       watch->stalls, watch->longest_stall_us / US_PER_MS,
	       watch->stall_cpu_us / US_PER_MS);
	return watch->denied || unserved;
}
