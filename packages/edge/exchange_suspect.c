#include "edge/exchange_internal.h"

#include <inttypes.h>
#include <netinet/in.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/fingerprint.h"
#include "edge/crash_watch.h"
#include "edge/gossip.h"
#include "edge/quarantine_store.h"

/*
 * While another node or exchange runs the request: interval of checks, and
 * Retry-After if it can't wait.
 */
#define RUN_POLL_US (20 * US_PER_MS)
#define RETRY_RUNNING_US (500 * US_PER_MS)

/* Maximum Retry-After for a quarantined request. */
#define RETRY_QUARANTINED_MAX_US (60 * US_PER_S)

/* A run's record outlives its deadline: the answer has to cross the link. */
#define RUN_GRACE_US (500 * US_PER_MS)

static uint64_t fingerprint(struct exchange *exchange)
{
	const struct message *request = exchange->request;
	const char *caller = exchange->edge->dialect->caller;
	const struct fingerprint_input parts = {
		.method = http_method_str(request->method),
		.host = message_header(request, "Host"),
		.target = request->target->str,
		.caller = exchange->query.account ?
				  exchange->query.account->name :
				  message_header(request, caller),
		.body = request->body->data,
		.body_bytes = request->body->len,
	};

	if (!exchange->fingerprint)
		exchange->fingerprint = fingerprint_of(&parts);
	return exchange->fingerprint;
}

static bool has_no_suspects(const struct exchange *exchange)
{
	return !exchange->edge->suspects->count;
}

static void schedule_broadcast(struct exchange *exchange)
{
	if (exchange->edge->gossip)
		gossip_schedule_broadcast(exchange->edge->gossip);
}

/*
 * Rank of this node for the request. Only the node of rank 0, its prober, may
 * retry the request after the end of its quarantine.
 */
static uint32_t node_rank(const struct edge *edge, uint64_t request_hash)
{
	return member_table_rank(edge->members, (uint32_t)request_hash);
}

/* Waits for hold_us, or refuses at once if the answer would then be late. */
static enum exchange_admission
wait_or_refuse(struct exchange *exchange, uint64_t hold_us, const char **cause)
{
	exchange->choice.hold_us = hold_us;
	exchange->choice.retry_after_us = RETRY_RUNNING_US;
	*cause = suspect_verdict_name(SUSPECT_RUNNING);
	if (exchange_left_us(exchange) > exchange->retry.usual_us + hold_us)
		return EXCHANGE_WAIT;
	return EXCHANGE_REFUSE;
}

/*
 * Another run of the same request is in progress. Callers that shared a crashed
 * server ask for the same object; all but one wait for that one's answer.
 */
static enum exchange_admission wait_for_run(struct exchange *exchange,
					    const char **cause)
{
	exchange->has_claimed = false;
	return wait_or_refuse(exchange, RUN_POLL_US, cause);
}

/*
 * Announces the run to the other nodes and waits for their claims, as they may
 * be about to run this request or another suspect.
 */
static enum exchange_admission claim(struct exchange *exchange,
				     const char **cause)
{
	struct edge *edge = exchange->edge;
	enum exchange_admission admission =
		wait_or_refuse(exchange, SUSPECT_CLAIM_WAIT_US, cause);

	if (admission == EXCHANGE_REFUSE)
		return admission;
	suspect_claim(edge->suspects, exchange->fingerprint,
		      edge->members->self->hash, exchange_now_us(exchange));
	schedule_broadcast(exchange);
	exchange->has_claimed = true;
	return admission;
}

static enum exchange_admission refuse_quarantined(struct exchange *exchange,
						  uint64_t left_us,
						  const char **cause)
{
	exchange->choice.retry_after_us =
		CLAMP(left_us, RETRY_RUNNING_US, RETRY_QUARANTINED_MAX_US);
	*cause = suspect_verdict_name(SUSPECT_QUARANTINED);
	metric_add(exchange->edge->stats.quarantined, 1);
	return EXCHANGE_REFUSE;
}

/* Whether another attempt broke off just now and may have crashed a server. */
static bool is_crash_check_pending(struct exchange *exchange)
{
	const struct crash_watch *watch = exchange->edge->crashes;

	return watch && crash_watch_is_busy(watch) &&
	       crash_watch_is_checking(watch, fingerprint(exchange));
}

static bool has_crashes(struct exchange *exchange)
{
	const struct suspect *suspect = suspect_table_find(
		exchange->edge->suspects, fingerprint(exchange));

	return suspect && suspect->evidence_crashes;
}

static bool has_time_to_wait(struct exchange *exchange, uint64_t wait_us)
{
	const struct choose_query *query = &exchange->query;
	const struct service_times *times = backend_table_times(
		exchange->edge->backends, query->service->name,
		query->route->target_us);
	uint64_t run_us =
		MAX(exchange->retry.usual_us, (uint64_t)times->cold_us);

	return exchange_left_us(exchange) > run_us + wait_us;
}

/*
 * Most broken connections were merely reset. So a request without crashes is
 * sent rather than refused if its caller can't wait for the check.
 */
static bool waits_for_crash_check(struct exchange *exchange)
{
	return is_crash_check_pending(exchange) &&
	       (has_crashes(exchange) ||
		has_time_to_wait(exchange, CRASH_WATCH_CHECK_US));
}

/*
 * The limit on the sends of one exchange doesn't bound a request that its
 * caller repeats, as each attempt has an id of its own. The number of servers
 * that crashed while running it does.
 */
enum exchange_admission exchange_may_run(struct exchange *exchange,
					 const char **cause)
{
	struct edge *edge = exchange->edge;
	struct suspect_query query = {
		.node = edge->members->self->hash,
		.has_claimed = exchange->has_claimed,
	};
	struct suspect_decision decision;

	exchange->query.isolation = CHOOSE_ISOLATE_NONE;
	exchange->is_suspect = false;
	if (waits_for_crash_check(exchange))
		return wait_or_refuse(exchange, CRASH_WATCH_CHECK_US, cause);
	if (has_no_suspects(exchange))
		return EXCHANGE_RUN;
	query.fingerprint = fingerprint(exchange);
	query.is_prober = !node_rank(edge, query.fingerprint);
	suspect_decide(edge->suspects, &query, edge->backends,
		       exchange_now_us(exchange), &decision);
	switch (decision.verdict) {
	case SUSPECT_RUNNING:
		return wait_for_run(exchange, cause);
	case SUSPECT_QUARANTINED:
		return refuse_quarantined(exchange, decision.left_us, cause);
	case SUSPECT_MAY_RUN:
		if (decision.needs_claim)
			return claim(exchange, cause);
		if (decision.wait_us &&
		    has_time_to_wait(exchange, decision.wait_us)) {
			exchange->choice.hold_us = decision.wait_us;
			return EXCHANGE_WAIT;
		}
		exchange->is_suspect = true;
		exchange->query.isolation = decision.isolated ?
						    CHOOSE_ISOLATE_REQUIRED :
						    CHOOSE_ISOLATE_PREFERRED;
		break;
	case SUSPECT_NONE:
		break;
	}
	return EXCHANGE_RUN;
}

void exchange_record_run_start(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	const struct suspect_run run = {
		.fingerprint = exchange->fingerprint,
		.node = edge->members->self->hash,
		.incarnation = exchange->choice.backend->incarnation,
		.until_us = exchange->due_us + RUN_GRACE_US,
		.isolated = exchange->query.isolation ==
			    CHOOSE_ISOLATE_REQUIRED,
	};

	if (!exchange->is_suspect)
		return;
	exchange->runs_as_suspect = true;
	exchange->has_claimed = false;
	suspect_begin_run(edge->suspects, &run);
	schedule_broadcast(exchange);
}

void exchange_record_run_end(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;

	if (!exchange->runs_as_suspect)
		return;
	exchange->runs_as_suspect = false;
	suspect_end_run(edge->suspects, exchange->fingerprint,
			edge->members->self->hash);
	schedule_broadcast(exchange);
}

void exchange_record_answered(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	const struct suspect *suspect;
	bool was_quarantined;

	if (has_no_suspects(exchange))
		return;
	suspect = suspect_table_find(edge->suspects, fingerprint(exchange));
	was_quarantined = suspect && suspect->rounds;
	suspect_clear(edge->suspects, exchange->fingerprint,
		      exchange_now_us(exchange));
	if (was_quarantined && edge->quarantines)
		quarantine_store_write(edge->quarantines,
				       exchange->fingerprint);
}

/*
 * Logs the fingerprint, which identifies a repeated request; the request's id
 * differs in each attempt.
 */
static void log_broken_run(struct exchange *exchange, const char *cause)
{
	const struct backend *backend = exchange->choice.backend;
	char address[INET_ADDRSTRLEN];

	exchange->sink->vtable->address(exchange->sink, address,
					sizeof(address));
	log_event(LOG_INFO, "broken-at-work",
		  "request=%s fingerprint=%016" PRIx64
		  " backend=%s cause=%s method=%s target=%s body_bytes=%u "
		  "caller=%s ran_us=%" PRIu64
		  " kept=%u in_flight=%u connections=%u",
		  exchange->request_id, fingerprint(exchange), backend->id,
		  cause, http_method_str(exchange->request->method),
		  exchange->request->target->str, exchange->request->body->len,
		  address, exchange_now_us(exchange) - exchange->sent_us,
		  exchange->conn->uses, backend->in_flight,
		  backend->connections);
}

void exchange_record_broken_run(struct exchange *exchange, const char *cause)
{
	struct edge *edge = exchange->edge;
	char *text;

	log_broken_run(exchange, cause);
	if (!edge->crashes)
		return;
	text = g_strdup_printf("%s %s",
			       http_method_str(exchange->request->method),
			       exchange->request->target->str);
	crash_watch_record_broken(edge->crashes, exchange->choice.backend,
				  fingerprint(exchange), exchange->sent_us,
				  text);
	g_free(text);
}
