#include "tools/caller.h"

#include <curl/curl.h>
#include <jansson.h>
#include <string.h>

#include "core/result.h"
#include "core/wire.h"
#include "tools/exchange.h"

#define MAX_SENDS 4 /* of an idempotent request */
#define MAX_TICKETS 3 /* of a non-idempotent one */
#define GRACE_US 100000 /* for an answer that says that time is over */
#define ASK_AGAIN_US 50000
#define LEAST_DEADLINE_US 100000 /* of a question for the outcome */

struct caller {
	const struct caller_options *options;
	struct lookup_cache *lookups;
	struct event_log *log;
	GRand *rand;
	CURL *curl; /* requests */
	CURL *lookup_curl;
	struct exchange exchange;
};

/* A request while it is being made. */
struct attempt {
	struct caller *caller;
	struct call *call;
	const char *id;
	uint64_t start_us;
	uint64_t deadline_us;
	struct lookup_answer lookup;
};

/* What to do after an answer, or after there was none. */
enum next_step {
	STEP_END,
	STEP_NEXT_NODE,
	STEP_SAME_NODE,
	STEP_NEW_TICKET,
};

static const char *const end_names[] = {
	[CALL_ANSWERED] = "answer",
	[CALL_REFUSED] = "refused",
	[CALL_UNKNOWN] = "unknown",
	[CALL_WRONG] = "wrong",
};

static void sleep_us(uint64_t wait_us)
{
	g_usleep(wait_us);
}

static struct curl_slist *add_header(struct curl_slist *headers,
				     const char *name, const char *value)
{
	char line[2 * ID_SIZE];

	g_snprintf(line, sizeof(line), "%s: %s", name, value);
	return curl_slist_append(headers, line);
}

static struct curl_slist *add_trace(struct curl_slist *headers, GRand *rand)
{
	char value[64];

	g_snprintf(value, sizeof(value), "00-%08x%08x%08x%08x-%08x%08x-01",
		   g_rand_int(rand), g_rand_int(rand), g_rand_int(rand),
		   g_rand_int(rand), g_rand_int(rand), g_rand_int(rand) | 1);
	return add_header(headers, WIRE_HEADER_TRACEPARENT, value);
}

static struct curl_slist *headers_of(const struct attempt *attempt,
				     uint64_t left_us)
{
	const struct caller *caller = attempt->caller;
	struct curl_slist *headers = NULL;
	char left[32];

	g_snprintf(left, sizeof(left), "%" G_GUINT64_FORMAT, left_us);
	headers = add_header(headers, WIRE_HEADER_REQUEST_ID, attempt->id);
	headers = add_header(headers, WIRE_HEADER_DEADLINE, left);
	headers = add_trace(headers, caller->rand);
	if (*caller->options->place)
		headers = add_header(headers, WIRE_HEADER_ORIGIN,
				     caller->options->place);
	if (*attempt->lookup.ticket)
		headers = add_header(headers, WIRE_HEADER_TICKET,
				     attempt->lookup.ticket);
	return headers;
}

static uint64_t time_left_us(const struct attempt *attempt)
{
	uint64_t now_us = event_now_us();

	return now_us < attempt->deadline_us ? attempt->deadline_us - now_us :
					       0;
}

static void note_exchange(struct attempt *attempt,
			  const struct lookup_node *node)
{
	const struct exchange *exchange = &attempt->caller->exchange;
	struct call *call = attempt->call;

	call->result = exchange->result;
	g_strlcpy(call->node, node->node, sizeof(call->node));
	g_strlcpy(call->place, exchange->place, sizeof(call->place));
	if (exchange->fate != EXCHANGE_NOT_SENT)
		call->sends++;
	if (exchange->fate != EXCHANGE_CUT)
		return;
	if (!call->cuts++)
		call->first_cut_us = event_now_us();
}

static void send_to(struct attempt *attempt, const struct lookup_node *node,
		    uint64_t left_us)
{
	struct caller *caller = attempt->caller;
	bool once = *attempt->lookup.ticket != '\0';
	struct curl_slist *headers = headers_of(attempt, left_us);
	char *url = g_strdup_printf("http://%s:%u%s%s/%s",
				    node->endpoint.address, node->endpoint.port,
				    WIRE_PATH_SERVICE, caller->options->service,
				    attempt->id);
	struct exchange_request request = {
		.url = url,
		.headers = headers,
		.body = once ? attempt->id : NULL,
		.timeout_us = left_us + GRACE_US,
		.fresh_connection = once,
	};

	exchange_run(&caller->exchange, caller->curl, &request);
	note_exchange(attempt, node);
	curl_slist_free_all(headers);
	g_free(url);
}

/* The result code; a backend server that is asked itself sends none. */
static int result_of(const struct exchange *exchange)
{
	if (exchange->result != EXCHANGE_NO_RESULT)
		return exchange->result;
	if (exchange->shed)
		return RESULT_BACKEND_SHED;
	return exchange->status == 200 ? RESULT_OK : EXCHANGE_NO_RESULT;
}

/*
 * Whether the body is whole and names this request, and the backend server
 * that the headers name: answers that were cut or crossed show here.
 */
static bool is_own_answer(const struct attempt *attempt)
{
	const struct exchange *exchange = &attempt->caller->exchange;
	json_t *root = json_loads(exchange->body->str, 0, NULL);
	const char *request =
		json_string_value(json_object_get(root, "request"));
	const char *backend =
		json_string_value(json_object_get(root, "backend"));
	bool own;

	own = request && backend && !strcmp(request, attempt->id) &&
	      (!*exchange->backend || !strcmp(exchange->backend, backend));
	attempt->call->runs =
		(uint32_t)json_integer_value(json_object_get(root, "runs"));
	json_decref(root);
	return own;
}

static enum next_step end_call(struct attempt *attempt, enum call_end end)
{
	attempt->call->end = end;
	return STEP_END;
}

static enum next_step end_answered(struct attempt *attempt)
{
	return end_call(attempt,
			is_own_answer(attempt) ? CALL_ANSWERED : CALL_WRONG);
}

static bool helps_elsewhere(int result)
{
	switch (result) {
	case RESULT_OVERLOAD:
	case RESULT_SHIFT_CAP:
	case RESULT_NO_PLACE:
	case RESULT_STOPPING:
	case RESULT_NO_CONFIG:
	case RESULT_BACKEND_SHED:
	case RESULT_CONNECT_FAILED:
		return true;
	default:
		return false;
	}
}

/* Keep away for as long as the answer asks; false where time is too short. */
static bool respect_retry_after(const struct attempt *attempt)
{
	uint64_t wait_us = attempt->caller->exchange.retry_after_us;

	/* A node that stops names a time for itself, not for the others. */
	if (attempt->call->result == RESULT_STOPPING)
		return true;
	if (wait_us >= time_left_us(attempt))
		return false;
	sleep_us(wait_us);
	return true;
}

/* A refusal is the end of it only if no earlier one may have run. */
static enum next_step after_refusal(struct attempt *attempt)
{
	attempt->call->end = attempt->call->cuts ? CALL_UNKNOWN : CALL_REFUSED;
	if (!helps_elsewhere(result_of(&attempt->caller->exchange)))
		return STEP_END;
	return respect_retry_after(attempt) ? STEP_NEXT_NODE : STEP_END;
}

static enum next_step after_idempotent(struct attempt *attempt)
{
	const struct exchange *exchange = &attempt->caller->exchange;
	int result = result_of(exchange);

	switch (exchange->fate) {
	case EXCHANGE_NOT_SENT:
	case EXCHANGE_CUT:
		lookup_cache_drop(attempt->caller->lookups);
		attempt->call->end = attempt->call->cuts ? CALL_UNKNOWN :
							   CALL_REFUSED;
		return STEP_NEXT_NODE;
	case EXCHANGE_TIMED_OUT:
		return end_call(attempt, CALL_UNKNOWN);
	case EXCHANGE_WHOLE:
		break;
	}
	if (result == RESULT_OK)
		return end_answered(attempt);
	if (result != EXCHANGE_NO_RESULT &&
	    result_proves_not_run(result_from_number(result)))
		return after_refusal(attempt);
	return end_call(attempt, CALL_UNKNOWN);
}

static void call_idempotent(struct attempt *attempt)
{
	enum next_step step = STEP_NEXT_NODE;
	uint32_t i;

	for (i = 0; step != STEP_END && i < MAX_SENDS; i++) {
		uint64_t left_us = time_left_us(attempt);

		if (!left_us)
			return;
		send_to(attempt,
			&attempt->lookup.nodes[i % attempt->lookup.count],
			left_us);
		step = after_idempotent(attempt);
	}
}

/* The outcome is open: ask the same node with the same ticket. */
static enum next_step ask_again(struct attempt *attempt)
{
	attempt->call->end = CALL_UNKNOWN;
	sleep_us(ASK_AGAIN_US);
	return STEP_SAME_NODE;
}

static enum next_step after_not_run(struct attempt *attempt)
{
	attempt->call->end = CALL_REFUSED;
	if (!attempt->caller->options->reissue ||
	    !helps_elsewhere(attempt->call->result))
		return STEP_END;
	return respect_retry_after(attempt) ? STEP_NEW_TICKET : STEP_END;
}

static enum next_step after_ticketed(struct attempt *attempt)
{
	const struct exchange *exchange = &attempt->caller->exchange;
	int result = result_of(exchange);

	switch (exchange->fate) {
	case EXCHANGE_NOT_SENT:
		if (attempt->call->sends)
			return ask_again(attempt);
		attempt->call->end = CALL_REFUSED;
		return STEP_NEW_TICKET;
	case EXCHANGE_CUT:
	case EXCHANGE_TIMED_OUT:
		return ask_again(attempt);
	case EXCHANGE_WHOLE:
		break;
	}
	if (result == RESULT_OK)
		return end_answered(attempt);
	if (result == RESULT_IN_PROGRESS || result == RESULT_TIMED_OUT)
		return ask_again(attempt);
	if (result != EXCHANGE_NO_RESULT &&
	    result_proves_not_run(result_from_number(result)))
		return after_not_run(attempt);
	return end_call(attempt, CALL_UNKNOWN);
}

/* Spend one ticket; whether another one may be spent on the request. */
static bool spend_ticket(struct attempt *attempt)
{
	uint64_t settle_us =
		attempt->deadline_us + attempt->caller->options->settle_us;
	enum next_step step = STEP_SAME_NODE;

	while (step == STEP_SAME_NODE && event_now_us() < settle_us) {
		uint64_t left_us = time_left_us(attempt);

		send_to(attempt, &attempt->lookup.nodes[0],
			MAX(left_us, LEAST_DEADLINE_US));
		step = after_ticketed(attempt);
	}
	return step == STEP_NEW_TICKET;
}

static bool look_up(struct attempt *attempt)
{
	struct caller *caller = attempt->caller;

	return lookup_cache_get(caller->lookups, caller->lookup_curl,
				g_rand_int(caller->rand), &attempt->lookup);
}

static void call_ticketed(struct attempt *attempt)
{
	struct call *call = attempt->call;
	uint32_t i;

	for (i = 0; i < MAX_TICKETS; i++) {
		call->sends = 0;
		g_strlcpy(call->ticket, attempt->lookup.ticket,
			  sizeof(call->ticket));
		if (!spend_ticket(attempt) || !time_left_us(attempt))
			return;
		if (!look_up(attempt))
			return;
	}
}

static void log_call(const struct attempt *attempt, const char *event)
{
	const struct caller *caller = attempt->caller;
	const struct call *call = attempt->call;
	json_t *line = json_pack("{s:I, s:s, s:s, s:s, s:s, s:s, s:s}", "t_us",
				 (json_int_t)event_now_us(), "who", "caller",
				 "event", event, "id", attempt->id, "service",
				 caller->options->service, "from",
				 caller->options->place, "ticket",
				 call->ticket);

	if (strcmp(event, "invoke") != 0)
		json_object_update_new(
			line,
			json_pack("{s:s, s:s, s:i, s:i, s:i, s:i, s:I}", "node",
				  call->node, "place", call->place, "result",
				  call->result, "sends", (int)call->sends,
				  "cuts", (int)call->cuts, "runs",
				  (int)call->runs, "latency_us",
				  (json_int_t)(event_now_us() -
					       attempt->start_us)));
	event_log_write(caller->log, line);
}

struct caller *caller_new(const struct caller_options *options,
			  struct lookup_cache *lookups, struct event_log *log,
			  uint32_t seed)
{
	struct caller *caller = g_new0(struct caller, 1);

	caller->options = options;
	caller->lookups = lookups;
	caller->log = log;
	caller->rand = g_rand_new_with_seed(seed);
	caller->curl = curl_easy_init();
	caller->lookup_curl = curl_easy_init();
	exchange_init(&caller->exchange);
	return caller;
}

void caller_free(struct caller *caller)
{
	exchange_release(&caller->exchange);
	curl_easy_cleanup(caller->curl);
	curl_easy_cleanup(caller->lookup_curl);
	g_rand_free(caller->rand);
	g_free(caller);
}

void caller_call(struct caller *caller, const char *id, uint64_t start_us,
		 struct call *call)
{
	struct attempt attempt = {
		.caller = caller,
		.call = call,
		.id = id,
		.start_us = start_us,
		.deadline_us = start_us + caller->options->timeout_us,
	};

	memset(call, 0, sizeof(*call));
	call->end = CALL_REFUSED;
	call->result = EXCHANGE_NO_RESULT;
	log_call(&attempt, "invoke");
	if (look_up(&attempt)) {
		if (*attempt.lookup.ticket)
			call_ticketed(&attempt);
		else
			call_idempotent(&attempt);
	}
	log_call(&attempt, end_names[call->end]);
}

const char *call_end_name(enum call_end end)
{
	return end_names[end];
}
