#include "edge/exchange_internal.h"

#include <inttypes.h>
#include <string.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/hash.h"
#include "core/load_report.h"
#include "edge/crash_watch.h"
#include "edge/quarantine_store.h"
#include "edge/reach_watch.h"
#include "edge/server_limits.h"
#include "edge/server_notices.h"
#include "edge/sync.h"

/*
 * Wait for an answer beyond the request's deadline. A backend server works up
 * to the deadline, and its answer then has to cross the link. A caller gets its
 * answer late by this much at most.
 */
#define ANSWER_GRACE_US (120 * US_PER_MS)

/* Connect timeout: some round trips to the server's region plus a margin. */
#define CONNECT_ROUND_TRIPS 3
#define CONNECT_EXTRA_US (200 * US_PER_MS)

/* Extension of a connect timeout: one turn of the loop to read events. */
#define CONNECT_RECHECK_US (1 * US_PER_MS)

/*
 * Maximum idle time of a reused connection. The server may have closed it
 * meanwhile, and whether it ran a request sent on it is then unknown. A request
 * that must not run twice therefore only reuses a recently used one.
 */
#define IDLE_IDEMPOTENT_US (8 * US_PER_S)
#define IDLE_NON_IDEMPOTENT_US (2 * US_PER_S)

/* Answers to other requests that are skipped on one connection. */
#define MAX_STRAYS 3

/*
 * How often a request is held for a token of a server's rate, and for how long
 * each time, beyond the round trip.
 */
#define MAX_TOKEN_HOLDS 3
#define TOKEN_HOLD_US (4 * US_PER_MS)

/* --- time --------------------------------------------------------------- */

static void on_timer(uv_timer_t *timer);

void exchange_arm_timer(struct exchange *exchange)
{
	uint64_t now = exchange_now_us(exchange);
	uint64_t at = exchange->due_us;

	if (exchange->grace_until_us)
		at = exchange->grace_until_us;
	if (exchange->connect_deadline_us && exchange->connect_deadline_us < at)
		at = exchange->connect_deadline_us;
	if (exchange->held_until_us && exchange->held_until_us < at)
		at = exchange->held_until_us;
	if (exchange->ack_deadline_us && exchange->ack_deadline_us < at)
		at = exchange->ack_deadline_us;
	uv_timer_start(&exchange->timer, on_timer,
		       at > now ? (at - now) / US_PER_MS + 1 : 0, 0);
}

/* --- sending ------------------------------------------------------------ */

static const char *const *replaced_headers(const struct exchange *exchange)
{
	const struct dialect *dialect = exchange->edge->dialect;
	static const char *names[7];

	names[0] = dialect->deadline_ms;
	names[1] = dialect->expect_instance;
	names[2] = dialect->account_key;
	names[3] = dialect->account_name;
	names[4] = HOP_ACCOUNT;
	names[5] = exchange->is_hop ? HOP_SENDS : NULL;
	return names;
}

void exchange_format(const struct exchange *exchange,
		     const char *const *replaced, const char *more,
		     GString *text)
{
	const struct message *request = exchange->request;

	g_string_append_printf(text, "%s %s HTTP/1.1\r\n",
			       http_method_str(request->method),
			       request->target->str);
	message_copy_headers(request, replaced, text);
	g_string_append_printf(
		text, "%s: %" PRIu64 "\r\n%s",
		exchange->edge->dialect->deadline_ms,
		(uint64_t)(exchange_left_us(exchange) / US_PER_MS), more);
	if (request->body->len || request->has_length)
		g_string_append_printf(text, "Content-Length: %u\r\n",
				       request->body->len);
	g_string_append(text, "\r\n");
}

static GString *format_request(const struct exchange *exchange)
{
	const struct dialect *dialect = exchange->edge->dialect;
	const struct account *account = exchange->query.account;
	GString *text = g_string_sized_new(512);
	GString *own = g_string_new(NULL);

	g_string_append_printf(own, "%s: %s\r\n", dialect->expect_instance,
			       exchange->choice.backend->id);
	if (account)
		g_string_append_printf(own, "%s: %s\r\n", dialect->account_name,
				       account->name);
	exchange_format(exchange, replaced_headers(exchange), own->str, text);
	g_string_free(own, TRUE);
	return text;
}

static void record_tried(struct exchange *exchange)
{
	struct choose_query *query = &exchange->query;

	if (query->tried_count < CHOOSE_MAX_TRIED)
		query->tried[query->tried_count++] =
			backend_ref(exchange->choice.backend);
}

static void send_request(struct exchange *exchange)
{
	struct stats *stats = &exchange->edge->stats;
	struct conn *conn = exchange->conn;

	exchange->connect_deadline_us = 0;
	exchange->took_token = false;
	exchange_spend_account_token(exchange);
	exchange->sent_us = exchange_now_us(exchange);
	exchange->ack_deadline_us =
		exchange->sent_us + exchange->edge->settings.leave_within_us;
	exchange->strays = 0;
	exchange->retry.sends++;
	exchange->unsettled++;
	record_tried(exchange);
	metric_add(stats->sent, 1);
	if (exchange->retry.sends > 1)
		metric_add(stats->extra, 1);
	log_event(LOG_DEBUG, "sent",
		  "request=%s backend=%s object=%08x reason=%s "
		  "expected_us=%.0f load=%.1f slots=%u kept=%u "
		  "left_us=%" PRIu64,
		  exchange->request_id, exchange->choice.backend->id,
		  exchange->query.object,
		  choose_reason_name(exchange->choice.reason),
		  exchange->choice.expected_us,
		  backend_load(exchange->choice.backend, exchange->sent_us),
		  exchange->choice.backend->slots, conn->uses,
		  exchange_left_us(exchange));
	exchange_arm_timer(exchange);
	link_send_with_body(&conn->link, format_request(exchange),
			    exchange->request->body,
			    exchange->request->method == HTTP_HEAD);
}

static void after_failure(struct exchange *exchange, enum send_outcome outcome,
			  const char *cause);

uint64_t exchange_connect_timeout_us(const struct exchange *exchange,
				     const char *region)
{
	return CONNECT_EXTRA_US +
	       CONNECT_ROUND_TRIPS *
		       chooser_link_us(&exchange->edge->chooser, region);
}

uint64_t exchange_max_idle_us(const struct exchange *exchange)
{
	return exchange->retry.idempotent ? IDLE_IDEMPOTENT_US :
					    IDLE_NON_IDEMPOTENT_US;
}

static const struct conn_user_vtable conn_events;

static void send_or_connect(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	struct backend *backend = exchange->choice.backend;

	exchange->user.vtable = &conn_events;
	exchange->conn = pool_take(&edge->pool, backend,
				   exchange_max_idle_us(exchange),
				   &exchange->user);
	if (exchange->conn) {
		send_request(exchange);
		return;
	}
	if (exchange_must_hop(exchange)) {
		chooser_failed(&edge->chooser, &exchange->query,
			       &exchange->choice);
		exchange_release_choice(exchange);
		exchange_hop(exchange);
		return;
	}
	metric_add(edge->stats.connects, 1);
	exchange->conn = pool_connect(&edge->pool, backend, &exchange->user);
	if (!exchange->conn) {
		after_failure(exchange, SEND_UNREACHABLE, "connect");
		return;
	}
	exchange->connect_rechecked = false;
	exchange->connect_deadline_us =
		exchange_now_us(exchange) +
		exchange_connect_timeout_us(exchange, backend->region);
	exchange_arm_timer(exchange);
}

/*
 * Whether callers take the status to mean that the request did not run. Only
 * called for answers without the header that proves it.
 */
static bool is_unproved_refusal(const struct message *answer)
{
	return answer->status == 503 || answer->status == 429 ||
	       answer->status == 408;
}

/*
 * Delivers a backend server's failed answer. If a server runs the request and
 * answers 503, its caller would take the request as not run and send it again.
 * Such a status is therefore always replaced by 502.
 */
static void deliver_failure(struct exchange *exchange,
			    struct message *failed_answer)
{
	if (is_unproved_refusal(failed_answer))
		exchange_finish_failed(exchange, 502, "unproved refusal");
	else
		exchange_deliver(exchange, failed_answer);
	message_free(failed_answer);
}

void exchange_finish_unserved(struct exchange *exchange,
			      uint64_t retry_after_us, const char *cause)
{
	struct message *failed_answer = exchange->failed_answer;

	if (!failed_answer) {
		exchange_finish_refused(exchange, retry_after_us, cause);
		return;
	}
	exchange->failed_answer = NULL;
	deliver_failure(exchange, failed_answer);
}

/* No server can take the request. */
static void finish_unserved(struct exchange *exchange, const char *cause)
{
	exchange_finish_unserved(exchange, exchange->choice.retry_after_us,
				 cause);
}

/* Chooses a server again after hold_us. */
void exchange_hold_for(struct exchange *exchange, uint64_t hold_us)
{
	exchange->held_until_us = exchange_now_us(exchange) + hold_us;
	exchange_arm_timer(exchange);
}

/* Round trip to the nodes that hold quotas of the server's rate. */
static uint64_t token_round_trip_us(const struct exchange *exchange,
				    const struct backend *backend)
{
	const struct chooser *chooser = &exchange->edge->chooser;

	if (!strcmp(backend->region, chooser->region))
		return 0;
	return chooser_link_us(chooser, backend->region);
}

/*
 * Holds the request while a token for the best server is requested from a quota
 * holder, which answers after one round trip. If it has no token, another
 * holder is asked, but only in this region. One request at a time waits for
 * tokens; others go to other servers. Returns false if the request isn't held.
 */
static bool hold_for_token(struct exchange *exchange)
{
	const struct choice *choice = &exchange->choice;
	struct backend *wanted = choice->best_rate_limited;
	uint64_t now_us = exchange_now_us(exchange);
	bool is_first = !exchange->token_holds;
	uint64_t round_trip_us;
	bool has_come = choice->backend &&
			rate_limit_is_limited(&choice->backend->limit, now_us);

	if (!wanted || has_come || exchange->token_holds >= MAX_TOKEN_HOLDS)
		return false;
	round_trip_us = token_round_trip_us(exchange, wanted);
	if (rate_limit_may_borrow(&wanted->limit, now_us)) {
		if (!is_first && round_trip_us)
			return false;
		if (!server_limits_borrow(exchange->edge, wanted,
					  round_trip_us))
			return false;
	} else if (is_first) {
		rate_limit_count_miss(&wanted->limit);
		return false;
	}
	exchange->token_holds++;
	exchange_hold_for(exchange,
			  (is_first ? round_trip_us : 0) + TOKEN_HOLD_US);
	return true;
}

/* Holds the request for a server that will soon be warm for its object. */
static void hold_for_warm_server(struct exchange *exchange)
{
	if (!exchange->was_held)
		log_event(LOG_DEBUG, "held",
			  "request=%s object=%08x left_us=%" PRIu64,
			  exchange->request_id, exchange->query.object,
			  exchange->query.left_us);
	exchange->was_held = true;
	exchange_hold_for(exchange, exchange->choice.hold_us);
}

/* One that is handed to a peer counts there. */
static void count_offered(struct exchange *exchange)
{
	if (exchange->was_offered)
		return;
	exchange->was_offered = true;
	chooser_offered(&exchange->edge->chooser, &exchange->query,
			exchange_now_us(exchange));
	/* A hop states what is left, not what its caller stated. */
	if (exchange->is_hop)
		exchange->query.spent_before_us = 0;
}

bool exchange_outlasts_stop(const struct exchange *exchange)
{
	return !stop_plan_allows(&exchange->edge->stop,
				 exchange->due_us + ANSWER_GRACE_US);
}

void exchange_dispatch(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	const char *cause;

	exchange_stop_waiting(exchange);
	if (exchange_outlasts_stop(exchange)) {
		exchange_finish_stopping(exchange);
		return;
	}
	if (exchange_must_hop(exchange) && !reach_watch_may_use_kept(edge)) {
		exchange_hop(exchange);
		return;
	}
	if (!exchange_admit_account(exchange))
		return;
	switch (exchange_may_run(exchange, &cause)) {
	case EXCHANGE_WAIT:
		exchange_hold_for(exchange, exchange->choice.hold_us);
		return;
	case EXCHANGE_REFUSE:
		finish_unserved(exchange, cause);
		return;
	case EXCHANGE_RUN:
		break;
	}
	exchange->query.left_us = exchange_left_us(exchange);
	exchange->query.spent_us =
		exchange_now_us(exchange) - exchange->arrived_us;
	count_offered(exchange);
	choose_backend(&edge->chooser, &exchange->query,
		       exchange_now_us(exchange), &exchange->choice);
	if (hold_for_token(exchange))
		return;
	if (exchange->choice.reason == CHOOSE_HOLD) {
		hold_for_warm_server(exchange);
		return;
	}
	if (!exchange->choice.backend) {
		if (exchange->choice.reason == CHOOSE_NONE_FREE)
			metric_add(
				edge->stats.no_room[exchange->choice.rejection],
				1);
		if (exchange->choice.reason == CHOOSE_NONE_USABLE &&
		    exchange_must_hop(exchange))
			exchange_hop(exchange);
		else
			finish_unserved(
				exchange,
				choose_reason_name(exchange->choice.reason));
		return;
	}
	backend_ref(exchange->choice.backend);
	backend_begin(exchange->choice.backend, exchange->choice.work_us,
		      exchange_now_us(exchange));
	chooser_began(&edge->chooser, &exchange->query, &exchange->choice,
		      exchange_now_us(exchange));
	exchange->took_token = rate_limit_take(&exchange->choice.backend->limit,
					       exchange_now_us(exchange));
	exchange_take_account_token(exchange);
	exchange->retry.usual_us = (uint64_t)exchange->choice.expected_us;
	exchange_record_run_start(exchange);
	send_or_connect(exchange);
}

void exchange_dispatch_unsent(struct exchange *exchange)
{
	exchange_drop_conn(exchange);
	exchange->connect_deadline_us = 0;
	exchange_dispatch(exchange);
}

/* --- failures ----------------------------------------------------------- */

static const char *outcome_name(enum send_outcome outcome)
{
	switch (outcome) {
	case SEND_UNREACHABLE:
		return "unreachable";
	case SEND_NOT_EXECUTED:
		return "not-executed";
	case SEND_FAILED:
		return "failed";
	case SEND_BROKEN:
		return "broken";
	}
	return "unknown";
}

static bool may_retry(struct exchange *exchange, enum send_outcome outcome)
{
	exchange->retry.left_us = exchange_left_us(exchange);
	if (outcome == SEND_UNREACHABLE && exchange_must_hop(exchange))
		return exchange->retry.left_us > 0;
	switch (retry_decide(&exchange->retry, outcome)) {
	case RETRY_FREE:
		return true;
	case RETRY_BUDGETED:
		return edge_take_extra(exchange->edge,
				       exchange->query.service->name);
	case RETRY_NONE:
		break;
	}
	return false;
}

/* Of a request that has no attempt left. */
static uint64_t retry_after_us(const struct exchange *exchange)
{
	uint64_t rest_us = chooser_rest_retry_us(&exchange->edge->chooser,
						 &exchange->query,
						 exchange_now_us(exchange));

	return rest_us ? rest_us : EXCHANGE_RETRY_AFTER_US;
}

static void finish_after_failure(struct exchange *exchange,
				 enum send_outcome outcome, const char *cause)
{
	if (exchange->failed_answer)
		finish_unserved(exchange, cause);
	else if (outcome == SEND_BROKEN)
		exchange_finish_failed(exchange, 502, cause);
	else
		exchange_finish_refused(exchange, retry_after_us(exchange),
					cause);
}

static void after_failure(struct exchange *exchange, enum send_outcome outcome,
			  const char *cause)
{
	const char *id = exchange->choice.backend->id;
	bool again;

	chooser_failed(&exchange->edge->chooser, &exchange->query,
		       &exchange->choice);
	if (outcome == SEND_UNREACHABLE) {
		metric_add(exchange->edge->stats.unreachable, 1);
		exchange->retry.unreachable++;
		record_tried(exchange);
		backend_unreachable(exchange->edge->backends,
				    exchange->choice.backend,
				    exchange_now_us(exchange));
		reach_watch_failed(exchange->edge, exchange->choice.backend);
	}
	if (outcome == SEND_NOT_EXECUTED) {
		exchange->unsettled--;
		exchange_return_account_token(exchange);
	}
	again = may_retry(exchange, outcome);
	log_event(LOG_INFO, "send-failed",
		  "request=%s backend=%s outcome=%s cause=%s sends=%u kept=%u "
		  "left_us=%" PRIu64 " again=%s",
		  exchange->request_id, id, outcome_name(outcome), cause,
		  exchange->retry.sends, exchange_conn_uses(exchange),
		  exchange->retry.left_us, again ? "yes" : "no");
	exchange_drop_conn(exchange);
	exchange_release_choice(exchange);
	exchange->connect_deadline_us = 0;
	if (!again)
		finish_after_failure(exchange, outcome, cause);
	else if (outcome == SEND_BROKEN)
		exchange_hold_for(exchange, CRASH_WATCH_CHECK_US);
	else
		exchange_dispatch(exchange);
}

/*
 * No answer came in time. If the connection was a reused one, the server's
 * other idle ones may be broken, too.
 */
static void record_timeout(struct exchange *exchange)
{
	struct backend *backend = exchange->choice.backend;

	/* The server isn't to blame while this node has stopped reading. */
	if (!exchange->sent_us || exchange->conn->link.paused)
		return;
	backend_failed(backend, exchange_now_us(exchange));
	reach_watch_timed_out(exchange->edge, exchange->sent_us);
	if (exchange->conn->uses)
		pool_drop_idle_of(&exchange->edge->pool, backend);
}

/*
 * After a pause of the VM, timers fire before the loop sees connections that
 * opened meanwhile. Their servers would all be marked unreachable and shunned,
 * though only this node was late. So the loop turns once more first.
 */
static void on_connect_timeout(struct exchange *exchange)
{
	if (exchange->connect_rechecked) {
		if (exchange->peer)
			exchange_hop_unreachable(exchange, "connect timeout");
		else
			after_failure(exchange, SEND_UNREACHABLE,
				      "connect timeout");
		return;
	}
	exchange->connect_rechecked = true;
	exchange->connect_deadline_us =
		exchange_now_us(exchange) + CONNECT_RECHECK_US;
	exchange_arm_timer(exchange);
}

/*
 * Gives a request up of which nothing has arrived. If it arrived from now on,
 * its server might have left, or its failure domain been evacuated, for longer
 * than allowed.
 */
static void check_acked(struct exchange *exchange)
{
	exchange->ack_deadline_us = 0;
	if (!link_is_unacked(&exchange->conn->link)) {
		exchange_arm_timer(exchange);
		return;
	}
	record_timeout(exchange);
	after_failure(exchange, SEND_BROKEN, "unacknowledged");
}

/*
 * The grace counts from now, not from due_us: after a pause of the VM, timers
 * fire before received bytes are read, and a request whose answer has already
 * arrived would be answered with 504.
 */
static void begin_grace(struct exchange *exchange)
{
	exchange->grace_until_us = exchange_now_us(exchange) + ANSWER_GRACE_US;
	exchange_arm_timer(exchange);
}

static void on_timer(uv_timer_t *timer)
{
	struct exchange *exchange = timer->data;

	if (exchange_left_us(exchange) && exchange->connect_deadline_us &&
	    exchange_now_us(exchange) >= exchange->connect_deadline_us) {
		on_connect_timeout(exchange);
	} else if (exchange_left_us(exchange) && exchange->held_until_us &&
		   exchange_now_us(exchange) >= exchange->held_until_us) {
		exchange->held_until_us = 0;
		exchange_dispatch(exchange);
	} else if (exchange_left_us(exchange) && exchange->ack_deadline_us &&
		   exchange_now_us(exchange) >= exchange->ack_deadline_us) {
		check_acked(exchange);
	} else if (exchange_left_us(exchange)) {
		exchange_arm_timer(exchange);
	} else if (exchange->sent_us && !exchange->grace_until_us) {
		begin_grace(exchange);
	} else if (exchange->peer) {
		exchange_hop_timed_out(exchange);
	} else if (exchange->unsettled) {
		record_timeout(exchange);
		exchange_finish_failed(exchange, 504, "timeout");
	} else {
		exchange_finish_refused(exchange, EXCHANGE_RETRY_AFTER_US,
					"timeout");
	}
}

/* --- answers ------------------------------------------------------------ */

static void record_load(struct exchange *exchange, const struct message *answer)
{
	struct edge *edge = exchange->edge;
	struct backend *backend = exchange->choice.backend;
	const struct service *service = exchange->query.service;
	const char *text = message_header(answer, edge->dialect->load);
	uint64_t now_us = exchange_now_us(exchange);
	struct load_report report;

	if (!text)
		return;
	if (!load_report_parse(text, &report))
		metric_add(edge->stats.reports_rejected, 1);
	if (report.has_load)
		backend_note_load(backend, report.running, report.waiting,
				  now_us);
	if (backend_note_own_report(
		    edge->backends, backend,
		    backend_table_coordinates(edge->backends, service), &report,
		    chooser_link_us(&edge->chooser, backend->region) / 2,
		    now_us))
		log_event(LOG_INFO, "speed-told", "service=%s backend=%s",
			  backend->service, backend->id);
}

static bool is_not_executed(const struct exchange *exchange,
			    const struct message *answer)
{
	return answer->status == 421 ||
	       message_header(answer, exchange->edge->dialect->not_executed);
}

static bool is_sealed_success(const struct exchange *exchange,
			      const struct message *answer)
{
	return answer->status < 300 &&
	       message_header(answer, exchange->edge->dialect->seal);
}

static void record_success(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	struct backend *backend = exchange->choice.backend;
	uint64_t took_us = exchange_now_us(exchange) - exchange->sent_us;

	metric_observe_us(edge->stats.backend_us, took_us);
	backend_succeeded(backend);
	chooser_learn(&edge->chooser, &exchange->query, &exchange->choice,
		      took_us, chooser_link_us(&edge->chooser, backend->region),
		      exchange_now_us(exchange));
}

/*
 * Returns the connection to the pool after an answer. It is closed if there
 * were stray answers, as more may follow.
 */
static void release_conn(struct exchange *exchange,
			 const struct message *answer)
{
	struct conn *conn = exchange->conn;

	exchange_detach_conn(exchange);
	if (exchange->strays)
		pool_drop(conn);
	else
		pool_give_back(conn, answer);
}

static void on_failed_answer(struct exchange *exchange, struct message *answer)
{
	bool again;

	if (!server_notices_asks_for_rest(answer))
		backend_failed(exchange->choice.backend,
			       exchange_now_us(exchange));
	chooser_failed(&exchange->edge->chooser, &exchange->query,
		       &exchange->choice);
	again = may_retry(exchange, SEND_FAILED);
	log_event(LOG_INFO, "send-failed",
		  "request=%s backend=%s outcome=failed status=%u again=%s",
		  exchange->request_id, exchange->choice.backend->id,
		  answer->status, again ? "yes" : "no");
	release_conn(exchange, answer);
	if (again) {
		message_free(exchange->failed_answer);
		exchange->failed_answer = answer;
		byte_account_hold(&exchange->kept, BYTE_KEPT,
				  message_held_bytes(answer), 0);
		exchange_dispatch(exchange);
		return;
	}
	deliver_failure(exchange, answer);
}

static void on_not_executed(struct exchange *exchange, struct message *answer)
{
	metric_add(exchange->edge->stats.not_executed, 1);
	message_free(answer);
	after_failure(exchange, SEND_NOT_EXECUTED, "shed");
}

static void on_matching_answer(struct exchange *exchange,
			       struct message *answer)
{
	record_load(exchange, answer);
	reach_watch_answered(exchange->edge);
	log_event(LOG_DEBUG, "backend-answer",
		  "request=%s backend=%s status=%u body_bytes=%u framed=%s "
		  "took_us=%" PRIu64,
		  exchange->request_id, exchange->choice.backend->id,
		  answer->status, answer->body->len,
		  answer->has_length ? "yes" : "no",
		  exchange_now_us(exchange) - exchange->sent_us);
	/* A 421 comes from another server that has the address now. */
	if (answer->status != 421) {
		backend_answered(exchange->choice.backend, exchange->sent_us);
		server_limits_apply_answer(exchange->edge,
					   exchange->choice.backend, answer,
					   exchange->sent_us);
	}
	if (!is_not_executed(exchange, answer))
		exchange_record_answered(exchange);
	if (is_not_executed(exchange, answer)) {
		on_not_executed(exchange, answer);
	} else if (answer->status >= 500 || is_unproved_refusal(answer)) {
		on_failed_answer(exchange, answer);
	} else if (answer->status < 300 &&
		   !is_sealed_success(exchange, answer)) {
		message_free(answer);
		backend_failed(exchange->choice.backend,
			       exchange_now_us(exchange));
		after_failure(exchange, SEND_BROKEN, "success without seal");
	} else {
		record_success(exchange);
		release_conn(exchange, answer);
		exchange_deliver(exchange, answer);
		message_free(answer);
	}
}

/*
 * Whether the answer belongs to this request, by its id. A backend server may
 * answer a request twice; the second answer arrives when the next request's is
 * due and must not go to that caller. An answer without an id is accepted only
 * as "not executed" on a new connection, where no other answer can arrive.
 */
static bool is_matching_answer(const struct exchange *exchange,
			       const struct conn *conn,
			       const struct message *answer)
{
	const char *id =
		message_header(answer, exchange->edge->dialect->attempt_id);

	if (id)
		return !strcmp(id, exchange->request_id);
	return !conn->uses && is_not_executed(exchange, answer);
}

/*
 * An answer to another request counts as well if the server of this connection
 * has proved by an earlier answer to be the one that was chosen.
 */
static void apply_notices(struct exchange *exchange, const struct conn *conn,
			  const struct message *answer)
{
	bool matches = is_matching_answer(exchange, conn, answer);

	if (answer->status != 421 && (matches || conn->uses))
		server_notices_apply(exchange->edge, conn->backend, answer,
				     matches ? exchange->sent_us : 0);
}

static void on_answered(struct conn_user *user, struct conn *conn,
			struct message *answer)
{
	struct exchange *exchange = (struct exchange *)user;

	apply_notices(exchange, conn, answer);
	if (is_matching_answer(exchange, conn, answer)) {
		on_matching_answer(exchange, answer);
		return;
	}
	metric_add(exchange->edge->stats.strays, 1);
	log_event(LOG_WARNING, "stray-answer",
		  "request=%s backend=%s status=%u strays=%u",
		  exchange->request_id, exchange->choice.backend->id,
		  answer->status, exchange->strays + 1);
	message_free(answer);
	conn->link.awaiting = true;
	if (++exchange->strays > MAX_STRAYS)
		after_failure(exchange, SEND_BROKEN, "stray answers");
}

static bool ensure_token(struct exchange *exchange)
{
	struct rate_limit *limit = &exchange->choice.backend->limit;
	uint64_t now_us = exchange_now_us(exchange);

	if (exchange->took_token)
		return true;
	if (!rate_limit_allows(limit, now_us))
		return false;
	exchange->took_token = rate_limit_take(limit, now_us);
	return true;
}

static void on_opened(struct conn_user *user, struct conn *conn)
{
	struct exchange *exchange = (struct exchange *)user;
	struct edge *edge = exchange->edge;

	reach_watch_accepted(edge, conn->backend);
	/*
	 * A connect time that includes a pause of the VM isn't the link's
	 * latency: the region would be too far for most deadlines.
	 */
	if (!exchange->connect_rechecked)
		chooser_link_measured(&edge->chooser, conn->backend->region,
				      exchange_now_us(exchange) -
					      conn->opening_us);
	/*
	 * It may have begun to leave or rest, or set a rate, meanwhile; or this
	 * node to stop.
	 */
	if (exchange_outlasts_stop(exchange) ||
	    backend_is_closed(edge->backends, conn->backend) ||
	    backend_is_resting(conn->backend, exchange_now_us(exchange)) ||
	    !ensure_token(exchange)) {
		exchange_dispatch_unsent(exchange);
		return;
	}
	send_request(exchange);
}

/*
 * Whether an answer that was dropped, to return its bytes, may have had no end:
 * it named no length.
 */
static bool is_endless(const struct message *answer)
{
	return !answer || !message_header(answer, "Content-Length");
}

static void on_ended(struct conn_user *user, struct conn *conn,
		     const char *cause)
{
	struct exchange *exchange = (struct exchange *)user;
	const struct message *cut_answer = link_partial_answer(&conn->link);
	bool was_sent = exchange->sent_us != 0;

	if (cut_answer)
		apply_notices(exchange, conn, cut_answer);
	if (was_sent && !conn->link.dropped)
		exchange_record_broken_run(exchange, cause);

	/*
	 * A reused connection may end because it was idle for too long. That
	 * doesn't explain bytes that are no answer: those are a failure.
	 */
	if (was_sent &&
	    (conn->link.dropped ? is_endless(cut_answer) :
				  !conn->uses || conn->link.invalid))
		backend_failed(exchange->choice.backend,
			       exchange_now_us(exchange));
	after_failure(exchange, was_sent ? SEND_BROKEN : SEND_UNREACHABLE,
		      cause);
}

static const struct conn_user_vtable conn_events = {
	.opened = on_opened,
	.answered = on_answered,
	.ended = on_ended,
};

/* --- the start ---------------------------------------------------------- */

static bool find_route(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;
	const char *host = message_header(exchange->request, "Host");
	struct route *route;

	exchange->routes = route_table_ref(edge->routes);
	route = route_table_find(exchange->routes, host ? host : "",
				 exchange->request->target->str);
	if (!route)
		return false;
	exchange->query.route = route;
	exchange->hops.route = route;
	if (route->unusable)
		return true;
	exchange->query.priority = route->priority;
	exchange->query.service = route_table_service(
		exchange->routes, route_next_service(route));
	exchange->retry.idempotent = route->idempotent;
	exchange->retry.max_attempts = route->max_attempts;
	return true;
}

static void read_headers(struct exchange *exchange)
{
	const struct dialect *dialect = exchange->edge->dialect;
	const struct message *request = exchange->request;
	const char *key = message_header(request, dialect->object_key);
	const char *deadline = message_header(request, dialect->deadline_ms);
	uint64_t wait_us = exchange->query.route->timeout_us;
	uint64_t deadline_us = 0;

	if (key) {
		exchange->query.has_object = true;
		exchange->query.object = hash_text(key);
	}
	if (deadline)
		deadline_us = g_ascii_strtoull(deadline, NULL, 10) * US_PER_MS;
	exchange->query.patience_us = deadline_us;
	if (deadline_us && deadline_us < wait_us)
		wait_us = deadline_us;
	exchange->due_us = exchange->arrived_us + wait_us;
}

/*
 * A node whose routes may be outdated doesn't know whether the route exists.
 * Its 404 would be final for callers of a route that was just added, so it
 * answers 503 until its routes are confirmed.
 */
static void finish_without_route(struct exchange *exchange)
{
	exchange->not_run = HOP_NOT_RUN_PEER;
	if (sync_may_deny(exchange->edge->sync) &&
	    !exchange->routes->lacks_routes)
		exchange_finish_denied(exchange, 404, "no route");
	else
		exchange_finish_refused(exchange, EXCHANGE_RETRY_AFTER_US,
					"routes unconfirmed");
}

/* The first node has counted the request for the budget. */
static void begin_hop(struct exchange *exchange)
{
	const char *sends = message_header(exchange->request, HOP_SENDS);

	exchange->retry.sends = (uint32_t)g_ascii_strtoull(sends, NULL, 10);
	if (reach_watch_is_partitioned(exchange->edge)) {
		exchange->not_run = HOP_NOT_RUN_PEER;
		exchange_finish_refused(exchange, EXCHANGE_RETRY_AFTER_US,
					"partitioned");
	} else if (exchange->edge->hops_taken > HOPS_MAX_TAKEN) {
		exchange->not_run = HOP_NOT_RUN_PEER;
		exchange_finish_refused(exchange, EXCHANGE_RETRY_AFTER_US,
					"too many hops");
	} else if (exchange->retry.sends >= exchange->retry.max_attempts) {
		exchange_finish_refused(exchange, EXCHANGE_RETRY_AFTER_US,
					"no attempt left");
	} else {
		metric_add(exchange->edge->stats.hops_taken, 1);
		exchange_dispatch(exchange);
	}
}

static void begin(struct exchange *exchange)
{
	struct edge *edge = exchange->edge;

	if (!edge->routes || !edge->backends->loaded ||
	    (edge->quarantines &&
	     quarantine_store_is_reading(edge->quarantines))) {
		exchange->not_run = HOP_NOT_RUN_PEER;
		exchange_finish_refused(exchange, EXCHANGE_RETRY_AFTER_US,
					"starting");
	} else if (!message_header(exchange->request,
				   edge->dialect->attempt_id)) {
		exchange_finish_denied(exchange, 400, "the request has no id");
	} else if (!find_route(exchange)) {
		finish_without_route(exchange);
	} else if (exchange->query.route->unusable) {
		exchange->not_run = HOP_NOT_RUN_PEER;
		exchange_finish_refused(exchange, EXCHANGE_UNUSABLE_RETRY_US,
					"route unusable");
	} else if (!exchange_identify(exchange)) {
		return;
	} else if (exchange->is_hop) {
		read_headers(exchange);
		begin_hop(exchange);
	} else {
		read_headers(exchange);
		chooser_arrived(&edge->chooser, &exchange->query,
				exchange_now_us(exchange));
		extra_budget_record_first(
			edge_budget(edge, exchange->query.service->name),
			&edge->settings.extra_requests,
			exchange_now_us(exchange));
		exchange_dispatch(exchange);
	}
}

struct exchange *exchange_start(struct edge *edge, struct exchange_sink *sink,
				struct message *request, bool is_hop)
{
	struct exchange *exchange = g_new0(struct exchange, 1);
	const char *id = message_header(request, edge->dialect->attempt_id);

	exchange->edge = edge;
	exchange->sink = sink;
	exchange->request = request;
	exchange->request_id = id ? id : "none";
	exchange->arrived_us = edge_now_us(edge);
	byte_account_open(&exchange->kept, NULL, &edge->bytes);
	uv_timer_init(edge->loop, &exchange->timer);
	exchange->timer.data = exchange;
	edge->exchanges++;
	exchange->is_hop = is_hop;
	edge->hops_taken += is_hop;
	metric_add(edge->stats.requests, 1);
	begin(exchange);
	return exchange->ended ? NULL : exchange;
}
