#include "node/place.h"

#include <errno.h>
#include <string.h>
#include <time.h>

#include "adapters/log.h"
#include "core/wire.h"
#include "node/seats.h"
#include "node/wait.h"

/* Backend servers tried for one request that was proved not run. */
#define MOST_BACKENDS 2

/* A backend server opens a connection in about a millisecond. */
#define CONNECT_TIMEOUT_US 200000

#define SHIFT_RETRY_AFTER_US 1000000
#define LONGEST_WAIT_US 1000000

/* A thread that waits for its grant; all fields under the gate's lock. */
struct waiter {
	pthread_cond_t wake;
	bool granted;
	struct gate_decision decision;
};

static bool is_idempotent(const struct config_service *service)
{
	return service->class_of != SERVICE_NON_IDEMPOTENT;
}

static void waiter_init(struct waiter *waiter)
{
	memset(waiter, 0, sizeof(*waiter));
	wait_cond_init(&waiter->wake);
}

static void waiter_release(struct waiter *waiter)
{
	pthread_cond_destroy(&waiter->wake);
}

/* Hand out every grant that is due; under the gate's lock. */
static void hand_out_grants(struct service *service, uint64_t now_us)
{
	struct gate_grant grant;

	while (gate_next(service->gate, now_us, &grant)) {
		struct waiter *waiter = grant.waiter;

		waiter->decision = grant.decision;
		waiter->granted = true;
		pthread_cond_signal(&waiter->wake);
	}
}

/* Wait for the grant; the gate grants or refuses before the deadline. */
static void wait_for_grant(struct node *node, struct service *service,
			   struct waiter *waiter, uint64_t deadline_us)
{
	for (;;) {
		uint64_t now_us = state_now_us(node);
		uint64_t due_us;

		hand_out_grants(service, now_us);
		if (waiter->granted)
			return;
		if (now_us >= deadline_us &&
		    gate_cancel(service->gate, waiter)) {
			waiter->decision.verdict = GATE_REFUSE;
			waiter->decision.refusal = RESULT_DEADLINE_EXPIRED;
			return;
		}
		due_us = MIN(gate_next_due_us(service->gate), deadline_us);
		due_us = MAX(due_us, now_us + 100);
		wait_cond(&waiter->wake, &service->gate_lock,
			  wait_until_us(MIN(due_us - now_us, LONGEST_WAIT_US)));
	}
}

static void ask_gate(struct node *node, struct service *service,
		     enum service_class class_of, uint64_t deadline_us,
		     struct gate_decision *decision)
{
	struct waiter waiter;
	struct gate_request offer = { class_of, deadline_us, &waiter };

	waiter_init(&waiter);
	pthread_mutex_lock(&service->gate_lock);
	gate_offer(service->gate, &offer, state_now_us(node), decision);
	if (decision->verdict == GATE_WAIT) {
		wait_for_grant(node, service, &waiter, deadline_us);
		*decision = waiter.decision;
	}
	pthread_mutex_unlock(&service->gate_lock);
	waiter_release(&waiter);
}

static void finish_at_gate(struct node *node, struct service *service,
			   uint32_t backend, enum gate_outcome outcome,
			   uint64_t service_us)
{
	uint64_t now_us = state_now_us(node);

	pthread_mutex_lock(&service->gate_lock);
	gate_finish(service->gate, backend, outcome, service_us, now_us);
	hand_out_grants(service, now_us);
	pthread_mutex_unlock(&service->gate_lock);
}

/* Texts that the backend server's request headers point to. */
struct header_texts {
	char deadline[24];
	char attempt[12];
	char traceparent[TRACEPARENT_SIZE];
	char path[2048];
};

static void make_backend_request(const struct config_backend *backend,
				 const struct request *request,
				 uint64_t left_us, bool idempotent,
				 struct header_texts *texts,
				 struct http_request *http)
{
	memset(http, 0, sizeof(*http));
	g_snprintf(texts->path, sizeof(texts->path), "/%s", request->path);
	g_snprintf(texts->deadline, sizeof(texts->deadline),
		   "%" G_GUINT64_FORMAT, left_us);
	g_snprintf(texts->attempt, sizeof(texts->attempt), "%u",
		   request->attempt);
	http->method = request->method;
	http->address = backend->address;
	http->port = backend->port;
	http->path = texts->path;
	http->body = request->body;
	http->body_bytes = request->body_bytes;
	http->timeout_us = left_us;
	http->connect_timeout_us = CONNECT_TIMEOUT_US;
	http->answer_max_bytes = BODY_MAX_BYTES;
	/* See http_client.h: a reused connection might run it twice. */
	http->fresh_connection = !idempotent;
	http_request_add_header(http, WIRE_HEADER_REQUEST_ID, request->id);
	http_request_add_header(http, WIRE_HEADER_DEADLINE, texts->deadline);
	http_request_add_header(http, WIRE_HEADER_ATTEMPT, texts->attempt);
	http_request_add_header(http, WIRE_HEADER_TRACEPARENT,
				texts->traceparent);
	if (*request->ticket)
		http_request_add_header(http, WIRE_HEADER_TICKET,
					request->ticket);
	if (request->content_type)
		http_request_add_header(http, "Content-Type",
					request->content_type);
}

/* An answer to another request, crossed on the connection, is no answer. */
static bool is_crossed(const struct http_answer *http,
		       const struct request *request)
{
	const char *id = http_answer_header(http, WIRE_HEADER_REQUEST_ID);

	return id && strcmp(id, request->id) != 0;
}

static enum gate_outcome judge(const struct http_answer *http,
			       const struct request *request, bool idempotent)
{
	switch (http->outcome) {
	case HTTP_CONNECT_FAILED:
		return GATE_CONNECT_FAILED;
	case HTTP_TIMED_OUT:
		return GATE_TIMED_OUT;
	case HTTP_BROKEN:
	case HTTP_TOO_LARGE:
		return GATE_BROKEN;
	case HTTP_ANSWERED:
		break;
	}
	if (is_crossed(http, request))
		return GATE_BROKEN;
	/* The second sending was shed; the first one may run all the same. */
	if (http->status == 503 && http->repeated)
		return GATE_BROKEN;
	if (http->status == 503 &&
	    http_answer_header(http, WIRE_HEADER_BACKEND_NOT_RUN))
		return GATE_SHED;
	if (http->status == 503 && idempotent)
		return GATE_BROKEN;
	return GATE_ANSWERED;
}

static enum result result_of(enum gate_outcome outcome, bool idempotent)
{
	switch (outcome) {
	case GATE_ANSWERED:
		return RESULT_OK;
	case GATE_SHED:
		return RESULT_BACKEND_SHED;
	case GATE_CONNECT_FAILED:
		return RESULT_CONNECT_FAILED;
	case GATE_TIMED_OUT:
		return idempotent ? RESULT_TIMED_OUT : RESULT_OUTCOME_UNKNOWN;
	case GATE_BROKEN:
		break;
	}
	return idempotent ? RESULT_ATTEMPTS_FAILED : RESULT_OUTCOME_UNKNOWN;
}

static uint64_t silence_us(struct node *node, struct service *service)
{
	struct gate_summary summary;

	pthread_mutex_lock(&service->gate_lock);
	gate_summarise(service->gate, state_now_us(node), &summary);
	pthread_mutex_unlock(&service->gate_lock);
	return service_silence_us(summary.service_us);
}

static enum gate_outcome call_backend(struct node *node,
				      struct service *service,
				      const struct config_backend *backend,
				      struct request *request, bool idempotent,
				      struct answer *answer)
{
	uint64_t start_us = state_now_us(node);
	struct header_texts texts;
	struct http_request http;
	struct http_answer got;
	struct trace_span span;
	enum gate_outcome outcome;

	if (start_us >= request->deadline_us) {
		answer_set(answer, RESULT_DEADLINE_EXPIRED, 0);
		return GATE_SHED;
	}
	trace_span_start_child(&span, "backend", &request->span);
	trace_context_format(&span.context, texts.traceparent);
	make_backend_request(backend, request, request->deadline_us - start_us,
			     idempotent, &texts, &http);
	if (idempotent) {
		http.silence_us = silence_us(node, service);
		http.may_repeat = service_may_repeat;
		http.context = service;
	}
	http_client_exchange(node->http, &http, &got);
	outcome = judge(&got, request, idempotent);
	answer_set(answer, result_of(outcome, idempotent), 0);
	if (outcome == GATE_ANSWERED)
		answer_take(answer, &got);
	g_strlcpy(answer->backend, backend->name, NAME_SIZE);
	trace_span_end(&span, answer->result, "backend=%s outcome=%s",
		       backend->name, http_outcome_name(got.outcome));
	http_answer_release(&got);
	return outcome;
}

/* One admission and, if granted, one call; true if it may be tried again. */
static bool try_once(struct node *node, const struct snapshot *snapshot,
		     uint32_t index, struct request *request,
		     struct answer *answer)
{
	const struct config *config = snapshot->config;
	struct service *service = snapshot->services[index];
	bool idempotent = is_idempotent(&config->services[index]);
	struct gate_decision decision;
	enum gate_outcome outcome;
	uint64_t start_us;
	char name[NAME_SIZE];
	uint32_t backend;

	ask_gate(node, service, config->services[index].class_of,
		 request->deadline_us, &decision);
	if (decision.verdict == GATE_REFUSE) {
		answer_set(answer, decision.refusal, decision.retry_after_us);
		return false;
	}
	pthread_mutex_lock(&service->gate_lock);
	g_strlcpy(name, gate_backend_name(service->gate, decision.backend),
		  sizeof(name));
	pthread_mutex_unlock(&service->gate_lock);
	start_us = state_now_us(node);
	backend = config_find_backend(config, name);
	if (backend == CONFIG_NONE) {
		/* It came with a newer version than this request's. */
		answer_set(answer, RESULT_CONNECT_FAILED, 0);
		outcome = GATE_SHED;
	} else {
		outcome = call_backend(node, service,
				       &config->backends[backend], request,
				       idempotent, answer);
	}
	finish_at_gate(node, service, decision.backend, outcome,
		       state_now_us(node) - start_us);
	return outcome == GATE_SHED || outcome == GATE_CONNECT_FAILED;
}

void place_serve(struct node *node, const struct snapshot *snapshot,
		 uint32_t service_index, struct request *request,
		 struct answer *answer)
{
	int i;

	if (snapshot->own_place != CONFIG_NONE)
		g_strlcpy(answer->place,
			  snapshot->config->places[snapshot->own_place].name,
			  NAME_SIZE);
	if (*request->shift && !seats_admit(node, request->shift)) {
		answer_set(answer, RESULT_SHIFT_CAP, SHIFT_RETRY_AFTER_US);
		return;
	}
	for (i = 0; i < MOST_BACKENDS; i++)
		if (!try_once(node, snapshot, service_index, request, answer))
			break;
}
