#include "edge/exchange_parts.h"

#include <inttypes.h>
#include <netinet/in.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/fingerprint.h"
#include "edge/crash_watch.h"
#include "edge/gossip.h"
#include "edge/quarantine_store.h"

/* When to look, or to come back, while another run of it is under way. */
#define LOOK_AGAIN_US (20 * US_PER_MS)
#define RETRY_AT_WORK_US (500 * US_PER_MS)

/* Longest time to come back after that a quarantined request is told. */
#define RETRY_QUARANTINED_MOST_US (60 * US_PER_S)

/* A server's answer at the deadline needs the way back. */
#define RUN_END_US (500 * US_PER_MS)

static uint64_t fingerprint(struct exchange *exchange)
{
	const struct message *request = exchange->request;
	const struct fingerprint_parts parts = {
		.method = http_method_str(request->method),
		.host = message_header(request, "Host"),
		.target = request->target->str,
		.caller = message_header(request,
					 exchange->edge->dialect->caller),
		.body = request->body->data,
		.body_bytes = request->body->len,
	};

	if (!exchange->fingerprint)
		exchange->fingerprint = fingerprint_of(&parts);
	return exchange->fingerprint;
}

static bool nothing_is_suspected(const struct exchange *exchange)
{
	return !exchange->edge->suspects->count;
}

static void tell_others(struct exchange *exchange)
{
	if (exchange->edge->gossip)
		gossip_tell_words(exchange->edge->gossip);
}

/* Place of this node among those that may have the request. */
static uint32_t rank(const struct edge *edge, uint64_t print)
{
	return member_table_rank(edge->members, (uint32_t)print);
}

/* Hold it for so long, or refuse it at once where its answer would be late. */
static enum exchange_leave wait_or_refuse(struct exchange *exchange,
					  uint64_t hold_us, const char **cause)
{
	exchange->choice.hold_us = hold_us;
	exchange->choice.retry_after_us = RETRY_AT_WORK_US;
	*cause = suspect_verdict_name(SUSPECT_AT_WORK);
	if (exchange_left_us(exchange) > exchange->retry.usual_us + hold_us)
		return EXCHANGE_WAIT;
	return EXCHANGE_REFUSE;
}

/*
 * Another run of the same request is under way. Callers that shared a server
 * that ended ask for the same object; all but one wait for that one's answer.
 */
static enum exchange_leave wait_for_run(struct exchange *exchange,
					const char **cause)
{
	exchange->has_claimed = false;
	return wait_or_refuse(exchange, LOOK_AGAIN_US, cause);
}

/* Other nodes may be about to run it, too, or another suspect. */
static enum exchange_leave claim(struct exchange *exchange, const char **cause)
{
	struct edge *edge = exchange->edge;
	enum exchange_leave leave =
		wait_or_refuse(exchange, SUSPECT_CLAIM_US, cause);

	if (leave == EXCHANGE_REFUSE)
		return leave;
	suspect_claim(edge->suspects, exchange->fingerprint,
		      edge->members->self->hash, exchange_now_us(exchange));
	tell_others(exchange);
	exchange->has_claimed = true;
	return leave;
}

static enum exchange_leave refuse_quarantined(struct exchange *exchange,
					      uint64_t left_us,
					      const char **cause)
{
	exchange->choice.retry_after_us =
		CLAMP(left_us, RETRY_AT_WORK_US, RETRY_QUARANTINED_MOST_US);
	*cause = suspect_verdict_name(SUSPECT_QUARANTINED);
	metric_add(exchange->edge->stats.quarantined, 1);
	return EXCHANGE_REFUSE;
}

/* Whether another try of it broke off, and its server may have ended. */
static bool just_broke_off(struct exchange *exchange)
{
	const struct crash_watch *watch = exchange->edge->crashes;

	return watch && crash_watch_is_busy(watch) &&
	       crash_watch_is_checking(watch, fingerprint(exchange));
}

static enum exchange_leave wait_for_watch(struct exchange *exchange)
{
	exchange->choice.hold_us = CRASH_WATCH_CHECK_US;
	return EXCHANGE_WAIT;
}

/*
 * A limit on the sends of one try doesn't bound a request that comes again:
 * each try has an id of its own. What bounds it is how many servers ended under
 * it.
 */
enum exchange_leave exchange_may_run(struct exchange *exchange,
				     const char **cause)
{
	struct edge *edge = exchange->edge;
	struct suspect_query query = {
		.node = edge->members->self->hash,
		.has_claimed = exchange->has_claimed,
	};
	struct suspect_ruling ruling;

	exchange->query.apart = CHOOSE_TOGETHER;
	exchange->is_suspect = false;
	if (just_broke_off(exchange))
		return wait_for_watch(exchange);
	if (nothing_is_suspected(exchange))
		return EXCHANGE_RUN;
	query.fingerprint = fingerprint(exchange);
	query.is_prober = !rank(edge, query.fingerprint);
	suspect_rule(edge->suspects, &query, edge->backends,
		     exchange_now_us(exchange), &ruling);
	switch (ruling.verdict) {
	case SUSPECT_AT_WORK:
		return wait_for_run(exchange, cause);
	case SUSPECT_QUARANTINED:
		return refuse_quarantined(exchange, ruling.left_us, cause);
	case SUSPECT_ALONE:
		if (ruling.claims)
			return claim(exchange, cause);
		exchange->is_suspect = true;
		exchange->query.apart = ruling.apart ? CHOOSE_APART_ONLY :
						       CHOOSE_APART;
		break;
	case SUSPECT_NONE:
		break;
	}
	return EXCHANGE_RUN;
}

void exchange_run_begins(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	const struct suspect_run run = {
		.fingerprint = exchange->fingerprint,
		.node = edge->members->self->hash,
		.life = exchange->choice.backend->life,
		.until_us = exchange->due_us + RUN_END_US,
		.apart = exchange->query.apart == CHOOSE_APART_ONLY,
	};

	if (!exchange->is_suspect)
		return;
	exchange->runs_as_suspect = true;
	exchange->has_claimed = false;
	suspect_run_begins(edge->suspects, &run);
	tell_others(exchange);
}

void exchange_run_ends(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;

	if (!exchange->runs_as_suspect)
		return;
	exchange->runs_as_suspect = false;
	suspect_run_ends(edge->suspects, exchange->fingerprint,
			 edge->members->self->hash);
	tell_others(exchange);
}

void exchange_was_run(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	const struct suspect *suspect;
	bool was_quarantined;

	if (nothing_is_suspected(exchange))
		return;
	suspect = suspect_table_find(edge->suspects, fingerprint(exchange));
	was_quarantined = suspect && suspect->rounds;
	suspect_cleared(edge->suspects, exchange->fingerprint,
			exchange_now_us(exchange));
	if (was_quarantined && edge->quarantines)
		quarantine_store_keep(edge->quarantines, exchange->fingerprint);
}

/*
 * The request's id doesn't tell one that comes again, since each try has its
 * own; the fingerprint does.
 */
static void log_broken(struct exchange *exchange, const char *cause)
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
		  exchange->id, fingerprint(exchange), backend->id, cause,
		  http_method_str(exchange->request->method),
		  exchange->request->target->str, exchange->request->body->len,
		  address, exchange_now_us(exchange) - exchange->sent_us,
		  exchange->conn->uses, backend->in_flight,
		  backend->connections);
}

void exchange_broke_at_work(struct exchange *exchange, const char *cause)
{
	struct edge *edge = exchange->edge;
	char *text;

	log_broken(exchange, cause);
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
