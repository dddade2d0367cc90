#include "edge/run.h"

#include <inttypes.h>
#include <signal.h>
#include <string.h>

#include "adapters/clock_system.h"
#include "adapters/log.h"
#include "core/duration.h"
#include "edge/accounts.h"
#include "edge/caller.h"
#include "edge/capacity_watch.h"
#include "edge/crash_watch.h"
#include "edge/gossip.h"
#include "edge/quarantine_store.h"
#include "edge/reach_watch.h"
#include "edge/server_limits.h"
#include "edge/sync.h"

/* How often connection timeouts and the like are checked. */
#define TICK_US (200 * US_PER_MS)

/*
 * How often the settings file is reloaded, for a change without a SIGHUP, and
 * lost members are removed.
 */
#define SETTINGS_POLL_US (2 * US_PER_S)

/*
 * A longer time between two ticks means that the VM was suspended: connections
 * may be dead and the tables out of date.
 */
#define SUSPENDED_MIN_US (1500 * US_PER_MS)

/* How often a stop is continued. */
#define STOP_STEP_MS 50

enum { AT_FRONT, AT_READY, AT_LOOKUP, AT_OPERATORS, AT_PEERS, LISTENERS };

struct run {
	struct edge edge;
	uv_loop_t loop;
	struct listener listeners[LISTENERS];
	struct sync *sync;
	struct gossip *gossip;
	uv_signal_t signals[3];
	uv_timer_t tick;
	uv_timer_t stop_step;
	uv_prepare_t turn;
	uint64_t turns_us[2]; /* when this turn of the loop and the one before
				 began to wait for events */
	const char *settings_path;
	uint64_t last_tick_us; /* of the last tick */
	uint64_t settings_read_us; /* when the settings file was last read */
	bool front_closed;
	bool stop_rechecked; /* its end was put off once */
	bool requests_ended; /* by the stop; see requests_cut */
	uint32_t requests_cut;
	bool was_ready;
};

/* --- settings ----------------------------------------------------------- */

static bool same_endpoint(const struct endpoint *a, const struct endpoint *b)
{
	return a->port == b->port && !strcmp(a->address, b->address);
}

static void set_registry(struct run *run)
{
	const struct endpoint *to = &run->edge.settings.registry;

	sync_redirect(run->sync, to);
	quarantine_store_redirect(run->edge.quarantines, to);
}

static void apply_settings(struct run *run, struct edge_settings *fresh)
{
	struct edge_settings *current = &run->edge.settings;
	bool moved = !same_endpoint(&current->registry, &fresh->registry);

	current->extra_requests = fresh->extra_requests;
	current->min_nodes_assumed = fresh->min_nodes_assumed;
	current->member_expiry_us = fresh->member_expiry_us;
	current->leave_within_us = fresh->leave_within_us;
	current->config_within_us = fresh->config_within_us;
	current->lookup_keep_us = fresh->lookup_keep_us;
	current->max_stop_us = fresh->max_stop_us;
	current->account_quota = fresh->account_quota;
	accounts_settings_changed(run->edge.accounts);
	current->held_bytes = fresh->held_bytes;
	current->memory_mb = fresh->memory_mb;
	byte_budget_set_limit(&run->edge.bytes, fresh->held_bytes);
	current->registry = fresh->registry;
	if (moved)
		set_registry(run);
	log_event(LOG_DEBUG, "settings", "registry=%s:%u moved=%s",
		  current->registry.address, current->registry.port,
		  moved ? "yes" : "no");
}

/* An invalid file is logged and the current settings stay. */
static void reload_settings(struct run *run)
{
	struct edge_settings fresh;
	GError *error = NULL;

	run->settings_read_us = edge_now_us(&run->edge);
	if (!edge_settings_load(&fresh, run->settings_path, &error)) {
		log_event(LOG_ERROR, "settings-refused", "cause=%s",
			  error->message);
		g_error_free(error);
		return;
	}
	apply_settings(run, &fresh);
	edge_settings_release(&fresh);
}

/* --- stopping ----------------------------------------------------------- */

/* Cancels the requests that are left: no server is to run them later. */
static void exit_loop(struct run *run)
{
	uint32_t i;

	callers_close_all(&run->edge);
	for (i = 0; i < LISTENERS; i++)
		listener_close(&run->listeners[i]);
	uv_stop(&run->loop);
}

/* Not whole: requests were cut, or answers may be. */
static void finish_stop(struct run *run, bool written)
{
	const struct edge *edge = &run->edge;
	bool whole = written && !run->requests_cut;

	log_event(whole ? LOG_INFO : LOG_WARNING, "stop-ends",
		  "whole=%s cut=%u written=%s took_us=%" PRIu64,
		  whole ? "yes" : "no", run->requests_cut,
		  written ? "yes" : "no",
		  edge_now_us(edge) - edge->stop.began_us);
	exit_loop(run);
}

static void close_front(struct run *run)
{
	const struct edge *edge = &run->edge;

	if (run->front_closed)
		return;
	run->front_closed = true;
	log_event(LOG_INFO, "stop-closes",
		  "in_flight=%u callers=%u took_us=%" PRIu64, edge->exchanges,
		  g_queue_get_length((GQueue *)&edge->callers),
		  edge_now_us(edge) - edge->stop.began_us);
	listener_close(&run->listeners[AT_FRONT]);
}

static void end_requests(struct run *run)
{
	if (run->requests_ended)
		return;
	run->requests_ended = true;
	run->requests_cut = callers_end_requests(&run->edge);
}

/*
 * The loop runs timers before reads. While a stopping node reads a large
 * document, requests and answers may arrive that a step would close out or cut
 * before they are read. So no step is taken until the loop is on time; at the
 * end of the stop it turns once more.
 */
static void on_stop_step(uv_timer_t *timer)
{
	struct run *run = timer->data;
	struct edge *edge = &run->edge;
	const struct stop_plan *plan = &edge->stop;
	uint64_t now_us = edge_now_us(edge);
	bool was_closed = run->front_closed;

	if (now_us < plan->closes_us ||
	    (callers_may_have_unread(edge) && now_us < plan->ends_us))
		return;
	close_front(run);
	callers_close_idle(edge);
	if (was_closed && !callers_are_waiting(edge) &&
	    !callers_are_lingering(edge)) {
		finish_stop(run, true);
	} else if (now_us >= plan->exits_us) {
		end_requests(run);
		finish_stop(run, !callers_are_waiting(edge));
	} else if (now_us >= plan->ends_us) {
		if (run->stop_rechecked)
			end_requests(run);
		run->stop_rechecked = true;
	}
}

/* The signal may have come at any time since the previous turn of the loop. */
static void begin_stop(struct run *run)
{
	struct edge *edge = &run->edge;
	const struct edge_settings *settings = &edge->settings;

	if (edge->stop.begun)
		return;
	stop_plan_begin(&edge->stop, run->turns_us[0], settings->lookup_keep_us,
			settings->max_stop_us);
	log_event(LOG_INFO, "stop-begins",
		  "in_flight=%u callers=%u late_us=%" PRIu64, edge->exchanges,
		  g_queue_get_length(&edge->callers),
		  edge_now_us(edge) - edge->stop.began_us);
	gossip_send_heartbeat_now(run->gossip);
	uv_timer_start(&run->stop_step, on_stop_step, STOP_STEP_MS,
		       STOP_STEP_MS);
}

/* --- events ------------------------------------------------------------- */

static void on_signal(uv_signal_t *handle, int number)
{
	struct run *run = handle->data;

	if (number == SIGHUP) {
		log_event(LOG_INFO, "reload", "settings=%s",
			  run->settings_path);
		reload_settings(run);
	} else {
		begin_stop(run);
	}
}

/*
 * After a suspension servers may have left and connections may be dead: drops
 * the idle connections and requests the tables at once.
 */
static void recover_from_suspension(struct run *run, uint64_t suspended_us)
{
	log_event(LOG_WARNING, "suspended", "stood_us=%" PRIu64, suspended_us);
	pool_drop_idle(&run->edge.pool);
	sync_refresh(run->sync);
}

static void update_readiness(struct run *run)
{
	bool ready = edge_is_ready(&run->edge);

	if (ready == run->was_ready)
		return;
	run->was_ready = ready;
	log_event(LOG_INFO, "readiness", "ready=%s", ready ? "yes" : "no");
	if (!ready)
		return;
	gossip_send_heartbeat_now(run->gossip);
	sync_became_ready(run->sync);
}

static void on_tick(uv_timer_t *timer)
{
	struct run *run = timer->data;
	struct edge *edge = &run->edge;
	uint64_t now_us = edge_now_us(edge);
	uint64_t passed_us = now_us - run->last_tick_us;

	run->last_tick_us = now_us;
	if (passed_us > SUSPENDED_MIN_US)
		recover_from_suspension(run, passed_us);
	backend_table_expire(edge->backends, now_us);
	gossip_send_changes(run->gossip);
	server_limits_update_quotas(edge);
	accounts_update_quotas(edge->accounts);
	callers_sweep(edge);
	pool_sweep(&edge->pool, edge->backends);
	capacity_watch_check(edge->capacity, edge);
	update_readiness(run);
	if (now_us - run->settings_read_us > SETTINGS_POLL_US) {
		reload_settings(run);
		sync_remove_lost_member(run->sync);
	}
}

/* --- start -------------------------------------------------------------- */

static bool open_listener(struct run *run, uint32_t at, enum listener_kind kind,
			  const struct endpoint *endpoint, GError **error)
{
	return !endpoint->port || listener_open(&run->listeners[at], &run->edge,
						kind, endpoint, error);
}

static bool open_listeners(struct run *run, GError **error)
{
	const struct edge_settings *settings = &run->edge.settings;

	return open_listener(run, AT_FRONT, LISTENER_FRONT, &settings->front,
			     error) &&
	       open_listener(run, AT_READY, LISTENER_READINESS,
			     &settings->ready, error) &&
	       open_listener(run, AT_LOOKUP, LISTENER_LOOKUP, &settings->lookup,
			     error) &&
	       open_listener(run, AT_OPERATORS, LISTENER_OPERATORS,
			     &settings->operators, error) &&
	       open_listener(run, AT_PEERS, LISTENER_PEERS, &settings->peer,
			     error);
}

static void watch_signals(struct run *run)
{
	static const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
	uint32_t i;

	signal(SIGPIPE, SIG_IGN);
	for (i = 0; i < G_N_ELEMENTS(numbers); i++) {
		uv_signal_init(&run->loop, &run->signals[i]);
		run->signals[i].data = run;
		uv_signal_start(&run->signals[i], on_signal, numbers[i]);
	}
}

static void on_turn(uv_prepare_t *turn)
{
	struct run *run = turn->data;

	run->turns_us[0] = run->turns_us[1];
	run->turns_us[1] = edge_now_us(&run->edge);
}

static void watch_turns(struct run *run)
{
	run->turns_us[0] = edge_now_us(&run->edge);
	run->turns_us[1] = run->turns_us[0];
	uv_prepare_init(&run->loop, &run->turn);
	run->turn.data = run;
	uv_prepare_start(&run->turn, on_turn);
}

static void start_timers(struct run *run)
{
	uv_timer_init(&run->loop, &run->tick);
	run->tick.data = run;
	uv_timer_init(&run->loop, &run->stop_step);
	run->stop_step.data = run;
	run->last_tick_us = edge_now_us(&run->edge);
	run->settings_read_us = run->last_tick_us;
	uv_timer_start(&run->tick, on_tick, TICK_US / US_PER_MS,
		       TICK_US / US_PER_MS);
}

bool run_node(const struct edge_settings *settings, const char *settings_path,
	      const struct dialect *dialect, const struct registry *registry,
	      GError **error)
{
	struct run *run = g_new0(struct run, 1);
	struct edge *edge = &run->edge;

	uv_loop_init(&run->loop);
	edge_init(edge, &run->loop, clock_system(), dialect, registry,
		  settings);
	stats_init(&edge->stats);
	run->settings_path = settings_path;
	watch_turns(run);
	watch_signals(run);
	if (!open_listeners(run, error))
		return false;
	run->gossip = gossip_open(edge, error);
	if (!run->gossip)
		return false;
	run->sync = sync_open(edge);
	gossip_set_sync(run->gossip, run->sync);
	crash_watch_open(edge);
	reach_watch_open(edge);
	quarantine_store_open(edge);
	start_timers(run);
	log_event(LOG_INFO, "start", "domain=%s region=%s front=%s:%u",
		  settings->domain, settings->region, settings->front.address,
		  settings->front.port);
	uv_run(&run->loop, UV_RUN_DEFAULT);
	/* The process exits now, which closes all sockets and frees memory. */
	return true;
}
