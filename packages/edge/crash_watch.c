#include "edge/crash_watch.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "edge/gossip.h"
#include "edge/quarantine_store.h"

/* Requests that broke off and aren't judged yet. */
#define BREAKS_MOST 128

/* How often servers are looked at, and when one that answers nothing is left.
 */
#define FIRST_LOOK_US (2 * US_PER_MS)
#define LOOK_US (20 * US_PER_MS)
#define GIVE_UP_US (1 * US_PER_S)

/*
 * So many servers of a failure domain that end within this time have a cause in
 * common, and it isn't what ran there.
 */
#define DOMAIN_ENDS 3
#define DOMAIN_ENDS_US (60 * US_PER_MS)

struct request_break {
	struct backend *backend; /* holds a reference */
	uint64_t fingerprint;
	uint64_t sent_us;
	uint64_t at_us;
	bool probed; /* a connection was tried since */
	char text[SUSPECT_TEXT_SIZE];
};

struct crash_watch {
	struct edge *edge;
	uv_timer_t timer;
	struct request_break breaks[BREAKS_MOST];
	uint32_t count;
	GQueue probes; /* of struct probe, the oldest first */
};

enum verdict { VERDICT_OPEN, VERDICT_LIVES, VERDICT_ENDED };

/* --- probes ------------------------------------------------------------- */

/* A connection that is opened to see whether the server takes it. */
struct probe {
	struct conn_user user; /* first member */
	struct crash_watch *watch;
	struct conn *conn;
	uint64_t began_us;
};

static void look_soon(struct crash_watch *watch);

static void probe_end(struct probe *probe)
{
	struct crash_watch *watch = probe->watch;

	g_queue_remove(&watch->probes, probe);
	pool_drop(probe->conn);
	g_free(probe);
	look_soon(watch);
}

static void on_probe_opened(struct conn_user *user, struct conn *conn)
{
	struct probe *probe = (struct probe *)user;

	backend_answered(conn->backend, edge_now_us(probe->watch->edge));
	probe_end(probe);
}

static void on_probe_answered(struct conn_user *user, struct conn *conn,
			      struct message *answer)
{
	(void)user;
	(void)conn;
	message_free(answer);
}

static void on_probe_ended(struct conn_user *user, struct conn *conn,
			   const char *cause)
{
	struct probe *probe = (struct probe *)user;
	struct edge *edge = probe->watch->edge;

	(void)cause;
	backend_unreachable(edge->backends, conn->backend, edge_now_us(edge));
	probe_end(probe);
}

static const struct conn_user_vtable probe_events = {
	.opened = on_probe_opened,
	.answered = on_probe_answered,
	.ended = on_probe_ended,
};

static void probe_begin(struct crash_watch *watch, struct backend *backend)
{
	struct edge *edge = watch->edge;
	struct probe *probe = g_new0(struct probe, 1);

	probe->user.vtable = &probe_events;
	probe->watch = watch;
	probe->began_us = edge_now_us(edge);
	metric_add(edge->stats.connects, 1);
	probe->conn = pool_open(&edge->pool, backend, &probe->user);
	if (probe->conn)
		g_queue_push_tail(&watch->probes, probe);
	else
		g_free(probe);
}

/* A server that fell silent neither takes a connection nor refuses it. */
static void drop_old_probes(struct crash_watch *watch, uint64_t now_us)
{
	struct probe *oldest = g_queue_peek_head(&watch->probes);

	while (oldest && now_us - oldest->began_us >= GIVE_UP_US) {
		probe_end(oldest);
		oldest = g_queue_peek_head(&watch->probes);
	}
}

/* --- judging ------------------------------------------------------------ */

static enum verdict judge(const struct request_break *one, uint64_t now_us)
{
	const struct backend *backend = one->backend;

	if (backend->unreachable_us > one->at_us)
		return VERDICT_ENDED;
	if (backend->alive_us > one->at_us)
		return VERDICT_LIVES;
	if (!backend->connections && backend->disconnect_burst > 1)
		return VERDICT_ENDED;
	return now_us - one->at_us > GIVE_UP_US ? VERDICT_LIVES : VERDICT_OPEN;
}

static bool ended_with(const struct backend *backend,
		       const struct request_break *one)
{
	uint64_t at_us = backend->disconnect_us;

	return !backend->connections &&
	       !strcmp(backend->domain, one->backend->domain) &&
	       MAX(at_us, one->at_us) - MIN(at_us, one->at_us) < DOMAIN_ENDS_US;
}

static bool domain_ended(const struct edge *edge,
			 const struct request_break *one)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ended_with(value, one);
	return count >= DOMAIN_ENDS;
}

static void log_crash(const struct suspect *suspect,
		      const struct request_break *one)
{
	log_event(LOG_WARNING, "crash-suspected",
		  "fingerprint=%016" PRIx64
		  " backend=%s crashes=%u rounds=%u request=%s",
		  one->fingerprint, one->backend->id, suspect->crash_count,
		  suspect->rounds, one->text);
}

static void report(struct edge *edge, const struct request_break *one)
{
	const struct suspect_crash crash = {
		.incarnation = one->backend->incarnation,
		.at_us = one->at_us,
		.ran_us = one->at_us - one->sent_us,
	};
	const struct suspect *suspect;

	if (domain_ended(edge, one)) {
		log_event(LOG_DEBUG, "crash-with-domain",
			  "fingerprint=%016" PRIx64 " backend=%s domain=%s",
			  one->fingerprint, one->backend->id,
			  one->backend->domain);
		return;
	}
	if (!suspect_add_own_crash(edge->suspects, one->fingerprint,
				   edge->backends, &crash, one->text))
		return;
	suspect = suspect_table_find(edge->suspects, one->fingerprint);
	log_crash(suspect, one);
	if (edge->gossip)
		gossip_schedule_broadcast(edge->gossip);
	if (suspect->rounds && edge->quarantines)
		quarantine_store_write(edge->quarantines, one->fingerprint);
}

static void forget(struct crash_watch *watch, uint32_t at)
{
	backend_unref(watch->breaks[at].backend);
	watch->breaks[at] = watch->breaks[--watch->count];
}

/* No other connection is left that could tell. */
static void probe_once(struct crash_watch *watch, struct request_break *one)
{
	uint32_t i;

	if (one->probed || one->backend->connections)
		return;
	probe_begin(watch, one->backend);
	for (i = 0; i < watch->count; i++)
		if (watch->breaks[i].backend == one->backend)
			watch->breaks[i].probed = true;
}

static void look(struct crash_watch *watch)
{
	struct edge *edge = watch->edge;
	uint32_t i;

	for (i = watch->count; i > 0; i--) {
		struct request_break *one = &watch->breaks[i - 1];
		enum verdict verdict = judge(one, edge_now_us(edge));

		if (verdict == VERDICT_OPEN) {
			probe_once(watch, one);
			continue;
		}
		if (verdict == VERDICT_ENDED)
			report(edge, one);
		forget(watch, i - 1);
	}
}

static void on_timer(uv_timer_t *timer)
{
	struct crash_watch *watch = timer->data;

	look(watch);
	drop_old_probes(watch, edge_now_us(watch->edge));
	if (watch->count || watch->probes.length)
		uv_timer_start(timer, on_timer, LOOK_US / US_PER_MS, 0);
}

static void look_soon(struct crash_watch *watch)
{
	if (watch->count)
		uv_timer_start(&watch->timer, on_timer, 0, 0);
}

void crash_watch_broke(struct crash_watch *watch, struct backend *backend,
		       uint64_t fingerprint, uint64_t sent_us, const char *text)
{
	struct request_break *one;

	if (watch->count == BREAKS_MOST)
		return;
	one = &watch->breaks[watch->count++];
	one->backend = backend_ref(backend);
	one->fingerprint = fingerprint;
	one->sent_us = sent_us;
	one->at_us = edge_now_us(watch->edge);
	one->probed = false;
	g_strlcpy(one->text, text, sizeof(one->text));
	uv_timer_start(&watch->timer, on_timer, FIRST_LOOK_US / US_PER_MS, 0);
}

bool crash_watch_is_busy(const struct crash_watch *watch)
{
	return watch->count > 0;
}

bool crash_watch_doubts(const struct crash_watch *watch, uint64_t fingerprint)
{
	uint64_t now_us = edge_now_us(watch->edge);
	uint32_t i;

	for (i = 0; i < watch->count; i++)
		if (watch->breaks[i].fingerprint == fingerprint &&
		    now_us - watch->breaks[i].at_us < CRASH_WATCH_SOON_US)
			return true;
	return false;
}

struct crash_watch *crash_watch_open(struct edge *edge)
{
	struct crash_watch *watch = g_new0(struct crash_watch, 1);

	watch->edge = edge;
	g_queue_init(&watch->probes);
	uv_timer_init(edge->loop, &watch->timer);
	watch->timer.data = watch;
	edge->crashes = watch;
	return watch;
}

void crash_watch_close(struct crash_watch *watch)
{
	while (watch->count)
		forget(watch, watch->count - 1);
	while (watch->probes.length)
		probe_end(g_queue_peek_head(&watch->probes));
	watch->edge->crashes = NULL;
	uv_close((uv_handle_t *)&watch->timer, NULL);
}
