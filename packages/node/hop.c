#include "node/hop.h"

#include <stdlib.h>
#include <string.h>

#include "adapters/log.h"
#include "core/wire.h"
#include "node/place.h"
#include "node/wait.h"

/* A node in reach opens a connection in a round trip and little more. */
#define CONNECT_SPARE_US 300000

#define FENCE_SPARE_US 500000
#define FENCE_PAUSE_US 20000

/* Left over at the entry node, so that the gate's answer comes in time. */
#define HOP_SPARE_US 2000

/* Texts that a hop's request headers point to. */
struct header_texts {
	char path[2048];
	char deadline[24];
	char attempt[12];
	char incarnation[24];
	char traceparent[TRACEPARENT_SIZE];
};

static void format_texts(const struct hop *hop, const struct request *request,
			 uint64_t deadline_us, struct header_texts *texts)
{
	g_snprintf(texts->path, sizeof(texts->path), WIRE_PATH_HOP "%s/%s",
		   request->service, request->path);
	g_snprintf(texts->deadline, sizeof(texts->deadline),
		   "%" G_GUINT64_FORMAT, deadline_us);
	g_snprintf(texts->attempt, sizeof(texts->attempt), "%u",
		   request->attempt);
	g_snprintf(texts->incarnation, sizeof(texts->incarnation),
		   "%" G_GUINT64_FORMAT, hop->incarnation);
}

static void add_identity(const struct request *request,
			 const struct header_texts *texts,
			 struct http_request *http)
{
	http_request_add_header(http, WIRE_HEADER_REQUEST_ID, request->id);
	http_request_add_header(http, WIRE_HEADER_ATTEMPT, texts->attempt);
	http_request_add_header(http, WIRE_HEADER_INCARNATION,
				texts->incarnation);
	if (*request->ticket)
		http_request_add_header(http, WIRE_HEADER_TICKET,
					request->ticket);
}

static void make_request(const struct hop *hop, const struct request *request,
			 uint64_t left_us, const struct header_texts *texts,
			 struct http_request *http)
{
	memset(http, 0, sizeof(*http));
	http->method = request->method;
	http->address = hop->target->address;
	http->port = hop->target->http_port;
	http->path = texts->path;
	http->body = request->body;
	http->body_bytes = request->body_bytes;
	http->timeout_us = left_us;
	http->connect_timeout_us = hop->round_trip_us + CONNECT_SPARE_US;
	http->answer_max_bytes = BODY_MAX_BYTES;
	http->fresh_connection = !hop->idempotent;
	http->silence_us = hop->silence_us;
	http->may_repeat = hop->may_repeat;
	http->context = hop->context;
	add_identity(request, texts, http);
	http_request_add_header(http, WIRE_HEADER_DEADLINE, texts->deadline);
	http_request_add_header(http, WIRE_HEADER_TRACEPARENT,
				texts->traceparent);
	if (*request->shift)
		http_request_add_header(http, WIRE_HEADER_SHIFT,
					request->shift);
	if (request->content_type)
		http_request_add_header(http, "Content-Type",
					request->content_type);
}

static bool is_for(const struct http_answer *http,
		   const struct request *request)
{
	const char *id = http_answer_header(http, WIRE_HEADER_REQUEST_ID);

	return id && !strcmp(id, request->id);
}

static void copy_header(const struct http_answer *http, const char *name,
			char *text, size_t size)
{
	const char *value = http_answer_header(http, name);

	if (value)
		g_strlcpy(text, value, size);
}

/* Read a node's answer; false where it isn't one to this request. */
static bool read_answer(struct http_answer *http, const struct request *request,
			struct answer *answer)
{
	const char *result = http_answer_header(http, WIRE_HEADER_RESULT);
	const char *retry =
		http_answer_header(http, WIRE_HEADER_RETRY_AFTER_US);

	if (http->outcome != HTTP_ANSWERED || !result || !is_for(http, request))
		return false;
	answer_set(answer, result_from_number(atoi(result)),
		   retry ? strtoull(retry, NULL, 10) : 0);
	copy_header(http, WIRE_HEADER_PLACE, answer->place, NAME_SIZE);
	copy_header(http, WIRE_HEADER_BACKEND, answer->backend, NAME_SIZE);
	if (answer->result != RESULT_OK)
		return true;
	answer_take(answer, http);
	return true;
}

/* Ask once, on a new connection; RESULT_OUTCOME_UNKNOWN without an answer. */
static void ask_fence(struct node *node, const struct hop *hop,
		      const struct request *request, struct answer *answer)
{
	struct header_texts texts;
	struct http_request http;
	struct http_answer got;

	format_texts(hop, request, 0, &texts);
	memset(&http, 0, sizeof(http));
	http.method = "POST";
	http.address = hop->target->address;
	http.port = hop->target->http_port;
	http.path = WIRE_PATH_FENCE;
	http.body = "";
	http.timeout_us = hop->round_trip_us * 2 + FENCE_SPARE_US;
	http.answer_max_bytes = BODY_MAX_BYTES;
	http.fresh_connection = true;
	add_identity(request, &texts, &http);
	http_client_exchange(node->http, &http, &got);
	if (!read_answer(&got, request, answer))
		answer_set(answer, RESULT_OUTCOME_UNKNOWN, 0);
	http_answer_release(&got);
}

/*
 * The connection of a non-idempotent hop broke: it may have run, may run yet,
 * or never will. Without the fence "not run" would be a guess, and a copy still
 * under way could run after a second attempt: the request would run twice.
 * The gate either knows the attempt or puts a tombstone that a late copy meets.
 */
static void settle(struct node *node, const struct hop *hop,
		   struct request *request, struct answer *answer)
{
	do {
		ask_fence(node, hop, request, answer);
		if (answer->result != RESULT_IN_PROGRESS)
			break;
		wait_sleep_us(FENCE_PAUSE_US);
	} while (state_now_us(node) < request->deadline_us);
	if (answer->result == RESULT_IN_PROGRESS)
		answer_set(answer, RESULT_OUTCOME_UNKNOWN, 0);
	log_event(LOG_WARNING, "hop-settled",
		  "ticket=%s attempt=%u target=%s result=%s", request->ticket,
		  request->attempt, hop->target->name,
		  result_name(answer->result));
}

static void judge_failure(struct node *node, const struct hop *hop,
			  struct request *request, enum http_outcome outcome,
			  struct answer *answer)
{
	if (outcome == HTTP_CONNECT_FAILED)
		answer_set(answer, RESULT_CONNECT_FAILED, 0);
	else if (!hop->idempotent && hop->incarnation)
		settle(node, hop, request, answer);
	else if (!hop->idempotent)
		answer_set(answer, RESULT_OUTCOME_UNKNOWN, 0);
	else if (outcome == HTTP_TIMED_OUT)
		answer_set(answer, RESULT_TIMED_OUT, 0);
	else
		answer_set(answer, RESULT_ATTEMPTS_FAILED, 0);
}

void hop_send(struct node *node, const struct hop *hop, struct request *request,
	      struct answer *answer)
{
	uint64_t now_us = state_now_us(node);
	uint64_t spare_us = hop->round_trip_us + HOP_SPARE_US;
	struct header_texts texts;
	struct http_request http;
	struct http_answer got;
	struct trace_span span;

	if (now_us + spare_us >= request->deadline_us) {
		answer_set(answer, RESULT_DEADLINE_TOO_SHORT, 0);
		return;
	}
	trace_span_start_child(&span, "hop", &request->span);
	trace_context_format(&span.context, texts.traceparent);
	format_texts(hop, request, request->deadline_us - now_us - spare_us,
		     &texts);
	make_request(hop, request, request->deadline_us - now_us, &texts,
		     &http);
	http_client_exchange(node->http, &http, &got);
	if (!read_answer(&got, request, answer))
		judge_failure(node, hop, request,
			      got.outcome == HTTP_ANSWERED ? HTTP_BROKEN :
							     got.outcome,
			      answer);
	/* The second sending was refused; the first one may run all the same.
	 */
	if (got.repeated && result_proves_not_run(answer->result))
		answer_set(answer, RESULT_ATTEMPTS_FAILED,
			   answer->retry_after_us);
	if (answer->result == RESULT_CONNECT_FAILED)
		view_failed(node->view, hop->target->name, now_us);
	trace_span_end(&span, answer->result, "target=%s outcome=%s",
		       hop->target->name, http_outcome_name(got.outcome));
	http_answer_release(&got);
}

static bool format_hop_id(const char *ticket, uint32_t attempt, char *id)
{
	return g_snprintf(id, ID_SIZE, "%s#%u", ticket, attempt) < ID_SIZE;
}

static void keep(struct node *node, const char *id, const struct answer *answer)
{
	struct ledger *ledger = node->hop_ledger;
	const struct ledger_answer *found;
	struct ledger_answer kept;

	if (answer->result == RESULT_OK) {
		answer_to_kept(answer, &kept);
		ledger_finish(ledger, id, LEDGER_DONE, &kept);
	} else if (result_proves_not_run(answer->result)) {
		/*
		 * A refused attempt stays refused: the entry node may already
		 * go on to the next one, so a second copy of this must not run.
		 */
		ledger_finish(ledger, id, LEDGER_ABSENT, NULL);
		ledger_fence(ledger, id, state_ticket_epoch(node), &found);
	} else {
		ledger_finish(ledger, id, LEDGER_UNKNOWN, NULL);
	}
}

static void serve_at_place(struct node *node, struct request *request,
			   struct answer *answer)
{
	struct snapshot *snapshot = snapshot_get(node);
	uint32_t index;

	if (!snapshot) {
		answer_set(answer, RESULT_NO_CONFIG, 0);
		return;
	}
	index = config_find_service(snapshot->config, request->service);
	if (index == CONFIG_NONE)
		answer_set(answer, RESULT_UNKNOWN_SERVICE, 0);
	else
		place_serve(node, snapshot, index, request, answer);
	snapshot_put(snapshot);
}

static void serve_once(struct node *node, struct request *request,
		       struct answer *answer)
{
	uint64_t epoch = state_ticket_epoch(node);
	const struct ledger_answer *kept = NULL;
	enum result result;
	char id[ID_SIZE];

	if (!format_hop_id(request->ticket, request->attempt, id)) {
		answer_set(answer, RESULT_TICKET_MALFORMED, 0);
		return;
	}
	pthread_mutex_lock(&node->ledger_lock);
	ledger_expire(node->hop_ledger, ticket_oldest_epoch(epoch));
	result = ledger_start(node->hop_ledger, id, epoch, &kept);
	if (kept)
		answer_from_kept(answer, kept);
	pthread_mutex_unlock(&node->ledger_lock);
	if (kept)
		return;
	if (result != RESULT_OK) {
		answer_set(answer, result, 0);
		return;
	}
	serve_at_place(node, request, answer);
	pthread_mutex_lock(&node->ledger_lock);
	keep(node, id, answer);
	pthread_mutex_unlock(&node->ledger_lock);
}

void hop_serve(struct node *node, uint64_t incarnation, struct request *request,
	       struct answer *answer)
{
	/*
	 * A restarted node has an empty ledger. If it served a hop meant for
	 * its former self, a later fence meant for the same would find it, but
	 * one sent before would have answered from an empty ledger. So a hop
	 * runs only at the incarnation that it was sent to.
	 */
	if (incarnation && incarnation != node->incarnation) {
		answer_set(answer, RESULT_OTHER_INCARNATION, 0);
		return;
	}
	if (*request->ticket)
		serve_once(node, request, answer);
	else
		serve_at_place(node, request, answer);
}

void hop_fence(struct node *node, uint64_t incarnation, const char *ticket,
	       uint32_t attempt, struct answer *answer)
{
	const struct ledger_answer *kept = NULL;
	enum ledger_state state;
	char id[ID_SIZE];

	/* What the former incarnation ran, nobody knows any more. */
	if (incarnation != node->incarnation ||
	    !format_hop_id(ticket, attempt, id)) {
		answer_set(answer, RESULT_OUTCOME_UNKNOWN, 0);
		return;
	}
	pthread_mutex_lock(&node->ledger_lock);
	state = ledger_fence(node->hop_ledger, id, state_ticket_epoch(node),
			     &kept);
	if (kept)
		answer_from_kept(answer, kept);
	pthread_mutex_unlock(&node->ledger_lock);
	if (!kept)
		answer_from_state(answer, state, RESULT_FENCED, 0);
}
