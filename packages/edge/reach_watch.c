#include "edge/reach_watch.h"

#include <inttypes.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/reach.h"
#include "edge/crash_watch.h"
#include "edge/gossip.h"

/* How often probes are checked, and begun if there are too few. */
#define TICK_US (50 * US_PER_MS)

/* Interval of probes while the node is partitioned. */
#define PROBE_INTERVAL_US (250 * US_PER_MS)

/* After a doubt was unfounded, the next one waits for so long. */
#define DOUBT_PAUSE_US (1 * US_PER_S)

/* Time for a probe's connection to open, beyond three round trips. */
#define PROBE_ROUND_TRIPS 3
#define PROBE_EXTRA_US (200 * US_PER_MS)

/* A connection opened to see whether the server accepts it. */
struct probe {
	struct conn_user user; /* first member */
	struct reach_watch *watch;
	struct conn *conn; /* NULL: none */
	uint64_t deadline_us;
};

struct reach_watch {
	struct edge *edge;
	struct reach reach;
	uv_timer_t timer;
	struct probe probes[REACH_MAX_PROBES];
	uint32_t turn; /* probes begun */
	uint64_t next_probe_us; /* while partitioned */
	uint64_t settled_us; /* when it was last found to be connected */
};

static void on_timer(uv_timer_t *timer);
static void continue_probes(struct reach_watch *watch);

static uint32_t known_servers(const struct reach_watch *watch)
{
	return g_hash_table_size(watch->edge->backends->by_id);
}

/* --- changes of the state ----------------------------------------------- */

static void log_state(const struct reach_watch *watch)
{
	const struct reach *reach = &watch->reach;
	bool matters = reach->state == REACH_PARTITIONED ||
		       watch->edge->members->self->partitioned;

	log_event(matters ? LOG_WARNING : LOG_INFO, "reach",
		  "state=%s failed=%u servers=%u failing_us=%" PRIu64
		  " kept_answers=%s",
		  reach_state_name(reach->state), reach->failed_count,
		  known_servers(watch),
		  reach->failed_count ?
			  edge_now_us(watch->edge) - reach->failing_since_us :
			  0,
		  reach_kept_connections_work(reach) ? "yes" : "no");
}

static void tell_peers(struct reach_watch *watch, bool partitioned)
{
	struct edge *edge = watch->edge;

	edge->members->self->partitioned = partitioned;
	metric_set(edge->stats.partitioned, partitioned);
	if (edge->gossip)
		gossip_send_heartbeat_now(edge->gossip);
}

static void become_partitioned(struct reach_watch *watch)
{
	backend_table_forget_unreachable(watch->edge->backends,
					 watch->reach.failing_since_us);
	watch->next_probe_us = edge_now_us(watch->edge);
	tell_peers(watch, true);
}

/* Connections that carried no answers may be dead on the servers' side. */
static void become_connected(struct reach_watch *watch, bool kept_worked)
{
	struct edge *edge = watch->edge;

	watch->settled_us = edge_now_us(edge);
	if (!edge->members->self->partitioned)
		return;
	if (!kept_worked)
		pool_drop_idle(&edge->pool);
	backend_table_forget_unreachable(edge->backends,
					 watch->reach.partitioned_us);
	tell_peers(watch, false);
}

static void handle_change(struct reach_watch *watch, bool kept_worked)
{
	log_state(watch);
	switch (watch->reach.state) {
	case REACH_CONNECTED:
		become_connected(watch, kept_worked);
		break;
	case REACH_IN_DOUBT:
		break;
	case REACH_PARTITIONED:
		become_partitioned(watch);
		break;
	}
	continue_probes(watch);
	if (watch->edge->crashes)
		crash_watch_check(watch->edge->crashes);
}

static void record_accepted(struct reach_watch *watch,
			    const struct backend *backend)
{
	bool kept_worked = reach_kept_connections_work(&watch->reach);

	if (reach_accepted(&watch->reach, backend->incarnation,
			   known_servers(watch), edge_now_us(watch->edge)))
		handle_change(watch, kept_worked);
	else if (watch->reach.state == REACH_PARTITIONED)
		watch->next_probe_us = edge_now_us(watch->edge);
}

static void record_failed(struct reach_watch *watch,
			  const struct backend *backend)
{
	if (reach_failed(&watch->reach, backend->incarnation,
			 known_servers(watch), edge_now_us(watch->edge)))
		handle_change(watch, true);
}

/* --- probes ------------------------------------------------------------- */

static void probe_end(struct probe *probe)
{
	pool_drop(probe->conn);
	probe->conn = NULL;
}

static bool is_probing(const struct reach_watch *watch)
{
	uint32_t i;

	for (i = 0; i < REACH_MAX_PROBES; i++)
		if (watch->probes[i].conn)
			return true;
	return false;
}

static void on_probe_opened(struct conn_user *user, struct conn *conn)
{
	struct probe *probe = (struct probe *)user;
	struct reach_watch *watch = probe->watch;
	struct backend *backend = backend_ref(conn->backend);

	probe_end(probe);
	record_accepted(watch, backend);
	backend_unref(backend);
	continue_probes(watch);
}

static void on_probe_answered(struct conn_user *user, struct conn *conn,
			      struct message *answer)
{
	(void)user;
	(void)conn;
	message_free(answer);
}

static void fail_probe(struct probe *probe)
{
	struct reach_watch *watch = probe->watch;
	struct backend *backend = backend_ref(probe->conn->backend);

	probe_end(probe);
	record_failed(watch, backend);
	backend_unref(backend);
}

static void on_probe_ended(struct conn_user *user, struct conn *conn,
			   const char *cause)
{
	struct probe *probe = (struct probe *)user;
	struct reach_watch *watch = probe->watch;

	(void)conn;
	(void)cause;
	fail_probe(probe);
	continue_probes(watch);
}

static const struct conn_user_vtable probe_events = {
	.opened = on_probe_opened,
	.answered = on_probe_answered,
	.ended = on_probe_ended,
};

static void probe_begin(struct probe *probe, struct backend *backend)
{
	struct reach_watch *watch = probe->watch;
	struct edge *edge = watch->edge;

	probe->deadline_us =
		edge_now_us(edge) + PROBE_EXTRA_US +
		PROBE_ROUND_TRIPS *
			chooser_link_us(&edge->chooser, backend->region);
	metric_add(edge->stats.reach_probes, 1);
	probe->conn = pool_connect(&edge->pool, backend, &probe->user);
	if (!probe->conn)
		record_failed(watch, backend);
}

/* Only while none is open. */
static void begin_probes(struct reach_watch *watch, uint32_t count)
{
	struct edge *edge = watch->edge;
	struct backend *picked[REACH_MAX_PROBES];
	uint32_t i;

	count = reach_pick_probes(&watch->reach, edge->backends,
				  edge->settings.domain, edge->settings.region,
				  watch->turn++, picked, count);
	for (i = 0; i < count; i++)
		backend_ref(picked[i]);
	for (i = 0; i < count; i++) {
		probe_begin(&watch->probes[i], picked[i]);
		backend_unref(picked[i]);
	}
}

/* The loop reads sockets once more before a probe that timed out fails. */
static void end_late_probes(struct reach_watch *watch)
{
	uint64_t now_us = edge_now_us(watch->edge);
	uint32_t i;

	for (i = 0; i < REACH_MAX_PROBES; i++)
		if (watch->probes[i].conn &&
		    now_us >= watch->probes[i].deadline_us + TICK_US)
			fail_probe(&watch->probes[i]);
}

static void continue_probes(struct reach_watch *watch)
{
	uint64_t now_us = edge_now_us(watch->edge);

	if (watch->reach.state == REACH_IN_DOUBT && !is_probing(watch)) {
		begin_probes(watch, REACH_MAX_PROBES);
	} else if (watch->reach.state == REACH_PARTITIONED &&
		   !is_probing(watch) && now_us >= watch->next_probe_us) {
		watch->next_probe_us = now_us + PROBE_INTERVAL_US;
		begin_probes(watch, 1);
	}
	if (watch->reach.state == REACH_CONNECTED && !is_probing(watch))
		uv_timer_stop(&watch->timer);
	else if (!uv_is_active((uv_handle_t *)&watch->timer))
		uv_timer_start(&watch->timer, on_timer, TICK_US / US_PER_MS,
			       TICK_US / US_PER_MS);
}

static void on_timer(uv_timer_t *timer)
{
	struct reach_watch *watch = timer->data;

	end_late_probes(watch);
	continue_probes(watch);
}

/* --- evidence ----------------------------------------------------------- */

void reach_watch_accepted(struct edge *edge, const struct backend *backend)
{
	if (edge->reach)
		record_accepted(edge->reach, backend);
}

void reach_watch_failed(struct edge *edge, const struct backend *backend)
{
	if (edge->reach)
		record_failed(edge->reach, backend);
}

void reach_watch_answered(struct edge *edge)
{
	if (edge->reach)
		reach_answered(&edge->reach->reach, edge_now_us(edge));
}

static void doubt(struct reach_watch *watch)
{
	uint64_t now_us = edge_now_us(watch->edge);

	if (watch->settled_us && now_us - watch->settled_us < DOUBT_PAUSE_US)
		return;
	if (reach_doubt(&watch->reach, now_us))
		handle_change(watch, true);
}

void reach_watch_timed_out(struct edge *edge, uint64_t sent_us)
{
	if (edge->reach && edge->reach->reach.answered_us < sent_us)
		doubt(edge->reach);
}

enum reach_verdict reach_watch_since(struct edge *edge, uint64_t since_us)
{
	const struct reach *reach;

	if (!edge->reach)
		return REACH_YES;
	reach = &edge->reach->reach;
	if (reach->state == REACH_PARTITIONED)
		return REACH_NO;
	if (MAX(reach->accepted_us, reach->answered_us) > since_us)
		return REACH_YES;
	doubt(edge->reach);
	if (reach->state == REACH_CONNECTED)
		return REACH_YES;
	return reach->state == REACH_PARTITIONED ? REACH_NO : REACH_UNKNOWN;
}

bool reach_watch_is_partitioned(const struct edge *edge)
{
	return edge->reach && edge->reach->reach.state == REACH_PARTITIONED;
}

bool reach_watch_may_use_kept(const struct edge *edge)
{
	return !edge->reach || reach_kept_connections_work(&edge->reach->reach);
}

/* --- open and close ----------------------------------------------------- */

struct reach_watch *reach_watch_open(struct edge *edge)
{
	struct reach_watch *watch = g_new0(struct reach_watch, 1);
	uint32_t i;

	watch->edge = edge;
	for (i = 0; i < REACH_MAX_PROBES; i++) {
		watch->probes[i].user.vtable = &probe_events;
		watch->probes[i].watch = watch;
	}
	uv_timer_init(edge->loop, &watch->timer);
	watch->timer.data = watch;
	edge->reach = watch;
	return watch;
}

void reach_watch_close(struct reach_watch *watch)
{
	uint32_t i;

	for (i = 0; i < REACH_MAX_PROBES; i++)
		if (watch->probes[i].conn)
			probe_end(&watch->probes[i]);
	watch->edge->reach = NULL;
	uv_close((uv_handle_t *)&watch->timer, NULL);
}
