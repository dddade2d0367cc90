#include "edge/crash_watch.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/hash.h"
#include "edge/gossip.h"
#include "edge/quarantine_store.h"
#include "edge/reach_watch.h"

/* Requests that are checked at a time. */
#define MAX_BROKEN_REQUESTS 128

/*
 * Time to the first check and between checks. A server that doesn't react
 * within the timeout counts as alive.
 */
#define FIRST_CHECK_US (2 * US_PER_MS)
#define CHECK_INTERVAL_US (20 * US_PER_MS)
#define CHECK_TIMEOUT_US (1 * US_PER_S)

/*
 * Sends of the same request wait this long for a probe: a connection's round
 * trip to another region.
 */
#define PROBE_WAIT_US (150 * US_PER_MS)

/*
 * Servers of a failure domain that crash within this time may have crashed in
 * an outage of the domain, which no request caused.
 */
#define DOMAIN_OUTAGE_US (60 * US_PER_MS)

struct broken_request {
	struct backend *backend; /* holds a reference */
	uint64_t fingerprint;
	uint64_t sent_us;
	uint64_t at_us; /* when its connection ended */
	bool checked; /* at least once */
	bool probed; /* a connection was tried since */
	char text[SUSPECT_TEXT_SIZE];
};

struct crash_watch {
	struct edge *edge;
	uv_timer_t timer;
	struct broken_request requests[MAX_BROKEN_REQUESTS];
	uint32_t count;
	GQueue probes; /* of struct probe, the oldest first */
};

enum verdict { VERDICT_UNDECIDED, VERDICT_ALIVE, VERDICT_CRASHED };

/* --- probes ------------------------------------------------------------- */

/* A connection opened to see whether the server accepts it. */
struct probe {
	struct conn_user user; /* first member */
	struct crash_watch *watch;
	struct conn *conn;
	uint64_t began_us;
};

static void probe_end(struct probe *probe)
{
	struct crash_watch *watch = probe->watch;

	g_queue_remove(&watch->probes, probe);
	pool_drop(probe->conn);
	g_free(probe);
	crash_watch_check(watch);
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
	probe->conn = pool_connect(&edge->pool, backend, &probe->user);
	if (probe->conn)
		g_queue_push_tail(&watch->probes, probe);
	else
		g_free(probe);
}

/* An unreachable server neither accepts a connection nor refuses it. */
static void drop_stalled_probes(struct crash_watch *watch, uint64_t now_us)
{
	struct probe *oldest = g_queue_peek_head(&watch->probes);

	while (oldest && now_us - oldest->began_us >= CHECK_TIMEOUT_US) {
		probe_end(oldest);
		oldest = g_queue_peek_head(&watch->probes);
	}
}

/* --- deciding ----------------------------------------------------------- */

/* Judges a server by what happened since it closed a connection. */
static enum verdict judge(const struct backend *backend, uint64_t closed_us)
{
	if (backend->unreachable_us > closed_us)
		return VERDICT_CRASHED;
	if (backend->alive_us > closed_us)
		return VERDICT_ALIVE;
	if (!backend->connections && backend->disconnect_burst > 1)
		return VERDICT_CRASHED;
	return VERDICT_UNDECIDED;
}

static enum verdict decide(const struct broken_request *request,
			   uint64_t now_us)
{
	enum verdict verdict = judge(request->backend, request->at_us);

	if (verdict == VERDICT_UNDECIDED &&
	    now_us - request->at_us > CHECK_TIMEOUT_US)
		return VERDICT_ALIVE;
	return verdict;
}

static struct suspect_crash crash_of(const struct broken_request *request)
{
	return (struct suspect_crash){
		.incarnation = request->backend->incarnation,
		.domain = hash_text(request->backend->domain),
		.at_us = request->at_us,
		.ran_us = request->at_us - request->sent_us,
	};
}

/* --- domain outages ----------------------------------------------------- */

/* Servers of a failure domain that closed their connections together. */
struct domain_loss {
	uint32_t crashed;
	uint32_t undecided; /* their checks aren't decided yet */
};

/* fingerprint: 0 for any request. */
static bool is_checked_at(const struct crash_watch *watch,
			  const struct backend *backend, uint64_t fingerprint)
{
	uint32_t i;

	for (i = 0; i < watch->count; i++)
		if (watch->requests[i].backend == backend &&
		    (!fingerprint ||
		     watch->requests[i].fingerprint == fingerprint))
			return true;
	return false;
}

static bool was_lost_with(const struct backend *backend,
			  const struct broken_request *request)
{
	uint64_t at_us = backend->disconnect_us;

	return backend != request->backend && !backend->connections &&
	       !strcmp(backend->domain, request->backend->domain) &&
	       MAX(at_us, request->at_us) - MIN(at_us, request->at_us) <
		       DOMAIN_OUTAGE_US;
}

/* A server that the request itself may have crashed tells nothing. */
static bool ran_there(const struct crash_watch *watch,
		      const struct backend *backend,
		      const struct broken_request *request,
		      const struct suspect *suspect)
{
	return is_checked_at(watch, backend, request->fingerprint) ||
	       (suspect && suspect_has_crash_of(watch->edge->suspects, suspect,
						backend->incarnation));
}

static struct domain_loss
count_domain_loss(const struct crash_watch *watch,
		  const struct broken_request *request)
{
	struct edge *edge = watch->edge;
	const struct suspect *suspect =
		suspect_table_find(edge->suspects, request->fingerprint);
	const struct suspect_crash crash = crash_of(request);
	struct domain_loss loss = { 0 };
	GHashTableIter iter;
	gpointer value;

	loss.crashed = !suspect ||
		       !suspect_has_simultaneous_crash(suspect, &crash);
	g_hash_table_iter_init(&iter, edge->backends->by_id);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct backend *backend = value;
		enum verdict verdict = judge(backend, backend->disconnect_us);

		if (!was_lost_with(backend, request) ||
		    ran_there(watch, backend, request, suspect))
			continue;
		loss.crashed += verdict == VERDICT_CRASHED;
		loss.undecided += verdict == VERDICT_UNDECIDED &&
				  is_checked_at(watch, backend, 0);
	}
	return loss;
}

static bool is_outage(const struct crash_watch *watch,
		      const struct broken_request *request, uint32_t crashed)
{
	return suspect_is_domain_outage(watch->edge->backends,
					hash_text(request->backend->domain),
					crashed);
}

static bool is_domain_outage(const struct crash_watch *watch,
			     const struct broken_request *request)
{
	return is_outage(watch, request,
			 count_domain_loss(watch, request).crashed);
}

/* Whether the checks at other servers decide if it is a domain outage. */
static bool depends_on_others(const struct crash_watch *watch,
			      const struct broken_request *request)
{
	struct domain_loss loss = count_domain_loss(watch, request);

	return edge_now_us(watch->edge) - request->at_us < DOMAIN_OUTAGE_US &&
	       !is_outage(watch, request, loss.crashed) &&
	       is_outage(watch, request, loss.crashed + loss.undecided);
}

/* --- reporting ---------------------------------------------------------- */

static void log_crash(const struct suspect *suspect,
		      const struct broken_request *request)
{
	log_event(LOG_WARNING, "crash-suspected",
		  "fingerprint=%016" PRIx64
		  " backend=%s crashes=%u rounds=%u request=%s",
		  request->fingerprint, request->backend->id,
		  suspect->crash_count, suspect->rounds, request->text);
}

static void report_crash(struct crash_watch *watch,
			 const struct broken_request *request)
{
	struct edge *edge = watch->edge;
	const struct suspect_crash crash = crash_of(request);
	const struct suspect *suspect;

	if (is_domain_outage(watch, request)) {
		log_event(LOG_WARNING, "crash-with-domain",
			  "fingerprint=%016" PRIx64
			  " backend=%s domain=%s request=%s",
			  request->fingerprint, request->backend->id,
			  request->backend->domain, request->text);
		return;
	}
	if (!suspect_add_own_crash(edge->suspects, request->fingerprint,
				   edge->backends, &crash, request->text))
		return;
	suspect = suspect_table_find(edge->suspects, request->fingerprint);
	log_crash(suspect, request);
	if (edge->gossip)
		gossip_schedule_broadcast(edge->gossip);
	if (suspect->rounds && edge->quarantines)
		quarantine_store_write(edge->quarantines, request->fingerprint);
}

static void remove_request(struct crash_watch *watch, uint32_t at)
{
	backend_unref(watch->requests[at].backend);
	watch->requests[at] = watch->requests[--watch->count];
}

/*
 * Tries to connect if no connection to the server is left, whose end or answer
 * would decide the check. One probe serves all requests at the server.
 */
static void probe_once(struct crash_watch *watch,
		       struct broken_request *request)
{
	uint32_t i;

	if (request->probed || request->backend->connections)
		return;
	probe_begin(watch, request->backend);
	for (i = 0; i < watch->count; i++)
		if (watch->requests[i].backend == request->backend)
			watch->requests[i].probed = true;
}

/* All servers seem to have crashed to a node that has lost its way to them. */
static void decide_crash(struct crash_watch *watch, uint32_t at)
{
	const struct broken_request *request = &watch->requests[at];

	switch (reach_watch_since(watch->edge, request->at_us)) {
	case REACH_UNKNOWN:
		return;
	case REACH_NO:
		log_event(LOG_INFO, "crash-unknown",
			  "fingerprint=%016" PRIx64 " backend=%s request=%s",
			  request->fingerprint, request->backend->id,
			  request->text);
		break;
	case REACH_YES:
		report_crash(watch, request);
		break;
	}
	remove_request(watch, at);
}

static void check_requests(struct crash_watch *watch)
{
	struct edge *edge = watch->edge;
	uint32_t i;

	for (i = watch->count; i > 0; i--) {
		struct broken_request *request = &watch->requests[i - 1];
		enum verdict verdict = decide(request, edge_now_us(edge));

		request->checked = true;
		if (verdict == VERDICT_UNDECIDED) {
			probe_once(watch, request);
			continue;
		}
		if (verdict == VERDICT_CRASHED &&
		    depends_on_others(watch, request))
			continue;
		if (verdict == VERDICT_CRASHED)
			decide_crash(watch, i - 1);
		else
			remove_request(watch, i - 1);
	}
}

static void on_timer(uv_timer_t *timer);

/* A check that is due earlier stays due then. */
static void schedule_check(struct crash_watch *watch, uint64_t delay_us)
{
	const uv_timer_t *timer = &watch->timer;
	uint64_t delay_ms = delay_us / US_PER_MS;

	if (!uv_is_active((const uv_handle_t *)timer) ||
	    uv_timer_get_due_in(timer) > delay_ms)
		uv_timer_start(&watch->timer, on_timer, delay_ms, 0);
}

static void on_timer(uv_timer_t *timer)
{
	struct crash_watch *watch = timer->data;

	check_requests(watch);
	drop_stalled_probes(watch, edge_now_us(watch->edge));
	if (watch->count || watch->probes.length)
		schedule_check(watch, CHECK_INTERVAL_US);
}

void crash_watch_check(struct crash_watch *watch)
{
	if (watch->count)
		schedule_check(watch, 0);
}

void crash_watch_record_broken(struct crash_watch *watch,
			       struct backend *backend, uint64_t fingerprint,
			       uint64_t sent_us, const char *text)
{
	struct broken_request *request;

	if (watch->count == MAX_BROKEN_REQUESTS)
		return;
	request = &watch->requests[watch->count++];
	request->backend = backend_ref(backend);
	request->fingerprint = fingerprint;
	request->sent_us = sent_us;
	request->at_us = edge_now_us(watch->edge);
	request->checked = false;
	request->probed = false;
	g_strlcpy(request->text, text, sizeof(request->text));
	schedule_check(watch, FIRST_CHECK_US);
}

bool crash_watch_is_busy(const struct crash_watch *watch)
{
	return watch->count > 0;
}

static bool is_awaiting_probe(const struct crash_watch *watch,
			      const struct backend *backend, uint64_t now_us)
{
	const GList *item;

	for (item = watch->probes.head; item; item = item->next) {
		const struct probe *probe = item->data;

		if (probe->conn->backend == backend &&
		    now_us - probe->began_us < PROBE_WAIT_US)
			return true;
	}
	return false;
}

/*
 * After a pause of the VM, a timer that sends the request may run before that
 * of the check, so time alone doesn't end the wait.
 */
static bool is_check_pending(const struct crash_watch *watch,
			     const struct broken_request *request,
			     uint64_t now_us)
{
	switch (decide(request, now_us)) {
	case VERDICT_ALIVE:
		return false;
	case VERDICT_CRASHED: /* not reported yet */
		return true;
	case VERDICT_UNDECIDED:
		break;
	}
	return !request->checked ||
	       now_us - request->at_us < CRASH_WATCH_CHECK_US ||
	       is_awaiting_probe(watch, request->backend, now_us);
}

bool crash_watch_is_checking(const struct crash_watch *watch,
			     uint64_t fingerprint)
{
	uint64_t now_us = edge_now_us(watch->edge);
	uint32_t i;

	for (i = 0; i < watch->count; i++)
		if (watch->requests[i].fingerprint == fingerprint &&
		    is_check_pending(watch, &watch->requests[i], now_us))
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
		remove_request(watch, watch->count - 1);
	while (watch->probes.length)
		probe_end(g_queue_peek_head(&watch->probes));
	watch->edge->crashes = NULL;
	uv_close((uv_handle_t *)&watch->timer, NULL);
}
