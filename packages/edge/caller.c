#include "edge/caller.h"

#include <errno.h>
#include <inttypes.h>
#include <stddef.h>
#include <string.h>
#include <sys/socket.h>

#include "adapters/log.h"
#include "core/duration.h"
#include "core/result.h"
#include "edge/exchange.h"
#include "edge/hops.h"
#include "edge/local.h"
#include "edge/sync.h"
#include "edge/wire.h"

#define LISTEN_BACKLOG 512

/*
 * Pipelined requests that are buffered for a connection, in bytes. Beyond that,
 * bytes stay in the kernel's buffers.
 */
#define PIPELINED_MAX_BYTES (256 * 1024)

/* A lingering connection is closed if the caller sends nothing for this. */
#define LINGER_US (1 * US_PER_S)

/*
 * Maximum lingering time of a caller that keeps sending: a body of 16 MB, which
 * is discarded, takes 13.4 s over a link of 10 Mbit/s.
 */
#define LINGER_MAX_US (20 * US_PER_S)

/*
 * A connection without write progress for this long is closed. The kernel
 * accepts bytes in steps of up to a third of its buffer of at most 4 MB; over
 * 1 Mbit/s such a step takes 11 s.
 */
#define WRITE_STALL_US (15 * US_PER_S)

/* What a node that hands a request over may add to its head. */
#define HOP_HEAD_BYTES (128 + ACCOUNT_NAME_MAX_BYTES)

/* Retry-After of a node whose limits aren't confirmed, in seconds. */
#define LIMITS_RETRY_S "0.5"

/*
 * Time between two sweeps that counts as a pause, in which the node didn't read
 * either. Sweeps are due every 200 ms, and no timeout for callers that
 * operators set is this short.
 */
#define PAUSE_MIN_US (500 * US_PER_MS)

struct caller {
	struct exchange_sink sink; /* first member */
	struct edge *edge;
	enum listener_kind kind;
	uv_tcp_t tcp;
	uv_shutdown_t shutdown;
	GList link; /* in edge->callers */
	struct message_reader reader;
	GByteArray *pipelined; /* unparsed bytes of later requests */
	struct exchange *exchange;
	struct byte_account account;
	uint64_t request_bytes; /* held by the exchange */
	uint64_t queued_bytes; /* of answers, not written completely */
	uint64_t last_progress_us; /* last byte read or written */
	uint64_t linger_since_us; /* last answer queued, or write progress */
	size_t unwritten_bytes; /* of answers, at the last sweep */
	uint64_t head_since_us; /* first byte of a request; 0: none */
	bool is_head;
	bool reading_paused; /* too much is pipelined or held */
	bool keep_alive; /* requested by the caller */
	bool continue_sent; /* "100 Continue" */
	bool lingering; /* after the connection's last answer */
	bool closing;
};

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer);
static void feed_reader(struct caller *caller, const char *bytes,
			size_t length);
static void update_reading(struct caller *caller);

/* --- closing ------------------------------------------------------------ */

static void on_closed(uv_handle_t *handle)
{
	struct caller *caller = handle->data;

	g_queue_unlink(&caller->edge->callers, &caller->link);
	message_reader_release(&caller->reader);
	g_byte_array_unref(caller->pipelined);
	g_free(caller);
}

static void caller_close(struct caller *caller)
{
	struct exchange *exchange = caller->exchange;

	if (caller->closing)
		return;
	caller->closing = true;
	caller->exchange = NULL;
	if (exchange)
		exchange_cancel(exchange);
	byte_account_close(&caller->account);
	uv_close((uv_handle_t *)&caller->tcp, on_closed);
}

static void on_shut_down(uv_shutdown_t *request, int status)
{
	struct caller *caller = request->data;

	if (status && !caller->closing)
		caller_close(caller);
}

/*
 * Shuts down writing; bytes that still arrive are read and discarded. Closing
 * with unread bytes would reset the connection, and a caller that sends its
 * whole body before it reads would lose the answer.
 */
static void caller_linger(struct caller *caller)
{
	caller->lingering = true;
	caller->last_progress_us = edge_now_us(caller->edge);
	caller->linger_since_us = caller->last_progress_us;
	caller->shutdown.data = caller;
	if (uv_shutdown(&caller->shutdown, (uv_stream_t *)&caller->tcp,
			on_shut_down))
		caller_close(caller);
}

/* --- answers ------------------------------------------------------------ */

static bool has_no_body(const struct caller *caller, uint16_t status)
{
	return caller->is_head || status == 204 || status == 304 ||
	       status < 200;
}

static void on_written(void *context, int status, size_t bytes)
{
	struct caller *caller = context;

	(void)status;
	caller->queued_bytes -= bytes;
	update_reading(caller);
}

/* The answer's body is shared with the write, so it must not change. */
static void write_answer(struct caller *caller,
			 const struct exchange_answer *answer)
{
	bool keep = caller->keep_alive && !caller->edge->stop.begun &&
		    !answer->until_close;
	GByteArray *body = has_no_body(caller, answer->status) ? NULL :
								 answer->body;
	uint16_t status = answer->status;
	GString *text = g_string_sized_new(256 + answer->headers->len);

	g_string_append_printf(text, "HTTP/1.1 %u %s\r\n", status,
			       http_status_str((enum http_status)status));
	g_string_append_len(text, answer->headers->str,
			    (gssize)answer->headers->len);
	if (body && !answer->until_close)
		g_string_append_printf(text, "Content-Length: %u\r\n",
				       body->len);
	if (!keep)
		g_string_append(text, "Connection: close\r\n");
	g_string_append(text, "\r\n");
	caller->queued_bytes += text->len + (body ? body->len : 0);
	wire_write_with_body((uv_stream_t *)&caller->tcp, text, body,
			     on_written, caller);
	if (!keep)
		caller_linger(caller);
}

static void next_request(struct caller *caller)
{
	caller->last_progress_us = edge_now_us(caller->edge);
	caller->head_since_us = 0;
	caller->continue_sent = false;
	message_reader_next(&caller->reader, false);
}

/*
 * Counts what the connection holds; returns whether it may read on. While a
 * request runs, it only reads to see whether the caller leaves: no bytes are
 * needed for that.
 */
static bool hold_bytes(struct caller *caller)
{
	uint64_t unfinished_bytes = message_held_bytes(caller->reader.message);
	bool unfinished = !caller->exchange && !caller->lingering &&
			  caller->head_since_us &&
			  unfinished_bytes >= BYTE_ALLOWANCE;
	uint64_t held_bytes = unfinished_bytes + caller->request_bytes +
			      caller->queued_bytes + caller->pipelined->len;
	uint64_t next_bytes = message_reader_next_bytes(&caller->reader);

	if (caller->lingering || (caller->exchange && !caller->pipelined->len))
		next_bytes = 0;
	return byte_account_hold(&caller->account,
				 unfinished ? BYTE_REQUEST : BYTE_KEPT,
				 held_bytes, next_bytes);
}

/*
 * Stops reading from a caller that pipelines large bodies, or while the budget
 * is used up, and resumes later. Closing would cancel the running request,
 * which may be one that must not run twice. While reading is paused, a
 * disconnect is noticed only once the answer is written; the request's deadline
 * bounds that.
 */
static void update_reading(struct caller *caller)
{
	uv_stream_t *stream = (uv_stream_t *)&caller->tcp;
	bool is_full;

	if (caller->closing)
		return;
	is_full = !hold_bytes(caller) ||
		  (caller->pipelined->len > PIPELINED_MAX_BYTES &&
		   !caller->lingering);
	if (is_full == caller->reading_paused)
		return;
	caller->reading_paused = is_full;
	if (is_full)
		uv_read_stop(stream);
	else
		uv_read_start(stream, wire_buffer, on_read);
}

static void read_pipelined(struct caller *caller)
{
	GByteArray *pipelined = caller->pipelined;

	if (!pipelined->len || caller->lingering)
		return;
	caller->pipelined = g_byte_array_new();
	feed_reader(caller, (const char *)pipelined->data, pipelined->len);
	g_byte_array_unref(pipelined);
}

static void on_finish(struct exchange_sink *sink,
		      const struct exchange_answer *answer)
{
	struct caller *caller = (struct caller *)sink;

	caller->exchange = NULL;
	caller->request_bytes = 0;
	if (caller->closing)
		return;
	write_answer(caller, answer);
	next_request(caller);
	read_pipelined(caller);
	update_reading(caller);
}

static void on_address(struct exchange_sink *sink, char *text, size_t size)
{
	struct caller *caller = (struct caller *)sink;
	struct sockaddr_in address;
	int length = sizeof(address);

	if (uv_tcp_getpeername(&caller->tcp, (struct sockaddr *)&address,
			       &length) ||
	    uv_ip4_name(&address, text, size))
		g_strlcpy(text, "unknown", size);
}

static const struct exchange_sink_vtable sink_events = {
	.finish = on_finish,
	.address = on_address,
};

static void reject(struct caller *caller, uint16_t status, const char *cause)
{
	GString *headers = g_string_new("Content-Type: text/plain\r\n");
	GByteArray *body = g_byte_array_new();
	const struct exchange_answer answer = { status, headers, body, false };

	log_event(LOG_INFO, "request-rejected", "status=%u cause=%s", status,
		  cause);
	edge_record_refusal(caller->edge, cause, status, "none");
	if (status == 503) {
		metric_add(caller->edge->stats.refused, 1);
		g_string_append(headers, "Retry-After: " LIMITS_RETRY_S "\r\n");
	} else {
		metric_add(caller->edge->stats.denied, 1);
	}
	caller->keep_alive = false;
	caller->is_head = false;
	g_byte_array_append(body, (const guint8 *)cause, strlen(cause));
	write_answer(caller, &answer);
	g_string_free(headers, TRUE);
	g_byte_array_unref(body);
}

/*
 * Rejects a request over a limit that the operator set. If the limit isn't
 * loaded yet or may have been raised since, the answer is 503 instead of a
 * final error.
 */
static void reject_too_large(struct caller *caller, uint16_t status,
			     const char *cause)
{
	if (sync_may_deny(caller->edge->sync))
		reject(caller, status, cause);
	else
		reject(caller, 503, "limits unconfirmed");
}

/* --- held bytes --------------------------------------------------------- */

static struct caller *caller_of(struct byte_account *account)
{
	return (struct caller *)((char *)account -
				 offsetof(struct caller, account));
}

static void on_resume(struct byte_account *account)
{
	update_reading(caller_of(account));
}

/* Of a request that isn't complete, so nothing was sent on. */
static void refuse_unfinished(struct caller *caller, const char *cause)
{
	reject(caller, 503, cause);
	message_reader_next(&caller->reader, false);
	update_reading(caller);
}

static void on_drop(struct byte_account *account)
{
	refuse_unfinished(caller_of(account), "no bytes left for the request");
}

static const struct byte_account_vtable account_events = {
	.resume = on_resume,
	.drop = on_drop,
};

/* --- requests ----------------------------------------------------------- */

static void answer_locally(struct caller *caller, const struct message *request)
{
	struct local_answer local;
	struct exchange_answer answer = { .until_close = false };

	local_answer(caller->edge, caller->kind, request, &local);
	answer.status = local.status;
	answer.headers = local.headers;
	answer.body = local.body;
	write_answer(caller, &answer);
	local_answer_release(&local);
	next_request(caller);
}

/*
 * Whether the caller has already disconnected. After a pause of the VM, or of
 * the loop while it parses a large document, the kernel may hold a request and
 * the end of its connection, and the request is read first: a server would run
 * it for nobody. The check costs a system call, so it is made only after a
 * pause.
 */
static bool is_disconnected(const struct caller *caller)
{
	uv_os_fd_t fd;
	ssize_t count;
	char byte;

	if (!edge_reads_may_be_stale(caller->edge) ||
	    uv_fileno((const uv_handle_t *)&caller->tcp, &fd))
		return false;
	count = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return !count || (count < 0 && errno == ECONNRESET);
}

static bool is_node(const struct caller *caller)
{
	char address[INET_ADDRSTRLEN];

	caller->sink.vtable->address((struct exchange_sink *)&caller->sink,
				     address, sizeof(address));
	return hops_is_node(caller->edge, address);
}

/* Whether it is a request of another node's caller. */
static bool is_hop(const struct caller *caller, const struct message *request)
{
	return caller->kind == LISTENER_PEERS &&
	       message_header(request, HOP_SENDS);
}

static void log_caller_left(struct caller *caller,
			    const struct message *request)
{
	const char *id =
		message_header(request, caller->edge->dialect->attempt_id);

	metric_add(caller->edge->stats.cancelled, 1);
	log_event(LOG_INFO, "caller-left",
		  "request=%s after_us=0 sends=0 cause=\"before it was read\"",
		  id ? id : "none");
}

static void start_request(struct caller *caller)
{
	struct message *request = message_reader_take(&caller->reader);

	message_reader_next(&caller->reader, false);
	caller->is_head = request->method == HTTP_HEAD;
	caller->keep_alive = request->keep_alive;
	if (caller->kind != LISTENER_FRONT && !is_hop(caller, request)) {
		answer_locally(caller, request);
		message_free(request);
		return;
	}
	if (caller->kind != LISTENER_FRONT && !is_node(caller)) {
		message_free(request);
		reject(caller, 403, "only nodes may hand requests over");
		return;
	}
	if (message_count_headers(request, "Host") != 1) {
		message_free(request);
		reject(caller, 400, "one Host header is needed");
		return;
	}
	if (is_disconnected(caller)) {
		log_caller_left(caller, request);
		message_free(request);
		caller_close(caller);
		return;
	}
	caller->request_bytes = message_held_bytes(request);
	caller->exchange = exchange_start(caller->edge, &caller->sink, request,
					  caller->kind == LISTENER_PEERS);
	if (!caller->exchange)
		caller->request_bytes = 0;
}

static void offer_continue(struct caller *caller)
{
	const struct message *request = caller->reader.message;

	if (caller->continue_sent || !request->expects_continue)
		return;
	caller->continue_sent = true;
	wire_write((uv_stream_t *)&caller->tcp,
		   g_string_new("HTTP/1.1 100 Continue\r\n\r\n"), NULL, NULL);
}

static void set_limits(struct caller *caller)
{
	const struct route_limits *current = edge_limits(caller->edge);
	uint64_t head_bytes = current->max_header_bytes;

	if (caller->kind == LISTENER_PEERS)
		head_bytes += HOP_HEAD_BYTES;
	caller->reader.limits.head_bytes =
		MIN(head_bytes, REQUEST_HEAD_MAX_BYTES);
	caller->reader.limits.body_bytes =
		MIN(current->max_body_bytes, REQUEST_BODY_MAX_BYTES);
}

static void feed_reader(struct caller *caller, const char *bytes, size_t length)
{
	size_t used = 0;

	while (length && !caller->closing && !caller->lingering) {
		if (caller->exchange) {
			g_byte_array_append(caller->pipelined,
					    (const guint8 *)bytes,
					    (guint)length);
			return;
		}
		if (!caller->head_since_us)
			caller->head_since_us = edge_now_us(caller->edge);
		set_limits(caller);
		switch (message_reader_feed(&caller->reader, bytes, length,
					    &used)) {
		case MESSAGE_COMPLETE:
			start_request(caller);
			break;
		case MESSAGE_MALFORMED:
			reject(caller, 400, "malformed request");
			return;
		case MESSAGE_HEAD_TOO_LARGE:
			reject_too_large(caller, 431, "head too large");
			return;
		case MESSAGE_BODY_TOO_LARGE:
			reject_too_large(caller, 413, "body too large");
			return;
		default:
			offer_continue(caller);
			return;
		}
		bytes += used;
		length -= used;
	}
}

static void on_read(uv_stream_t *stream, ssize_t count, const uv_buf_t *buffer)
{
	struct caller *caller = stream->data;

	if (caller->closing || !count)
		return;
	if (count < 0) {
		caller_close(caller);
		return;
	}
	caller->last_progress_us = edge_now_us(caller->edge);
	if (caller->lingering)
		return;
	feed_reader(caller, buffer->base, (size_t)count);
	update_reading(caller);
}

/* --- listening ---------------------------------------------------------- */

static void on_connection(uv_stream_t *stream, int status)
{
	const struct message_limits none = { 0, 0 };
	struct listener *listener = stream->data;
	struct caller *caller;

	if (status) {
		log_event(LOG_WARNING, "accept-failed", "cause=%s",
			  uv_err_name(status));
		return;
	}
	caller = g_new0(struct caller, 1);
	caller->sink.vtable = &sink_events;
	caller->edge = listener->edge;
	caller->kind = listener->kind;
	caller->pipelined = g_byte_array_new();
	byte_account_open(&caller->account, &account_events,
			  &caller->edge->bytes);
	caller->last_progress_us = edge_now_us(caller->edge);
	caller->link.data = caller;
	message_reader_init(&caller->reader, HTTP_REQUEST, &none);
	g_queue_push_tail_link(&caller->edge->callers, &caller->link);
	uv_tcp_init(caller->edge->loop, &caller->tcp);
	caller->tcp.data = caller;
	if (uv_accept(stream, (uv_stream_t *)&caller->tcp) ||
	    uv_read_start((uv_stream_t *)&caller->tcp, wire_buffer, on_read)) {
		caller_close(caller);
		return;
	}
	uv_tcp_nodelay(&caller->tcp, 1);
}

bool listener_open(struct listener *listener, struct edge *edge,
		   enum listener_kind kind, const struct endpoint *at,
		   GError **error)
{
	struct sockaddr_in address;
	int status;

	listener->edge = edge;
	listener->kind = kind;
	uv_ip4_addr(at->address, at->port, &address);
	uv_tcp_init(edge->loop, &listener->tcp);
	listener->tcp.data = listener;
	listener->open = true;
	status = uv_tcp_bind(&listener->tcp, (const struct sockaddr *)&address,
			     0);
	if (!status)
		status = uv_listen((uv_stream_t *)&listener->tcp,
				   LISTEN_BACKLOG, on_connection);
	if (!status)
		return true;
	g_set_error(error, RESULT_ERROR, RESULT_SYSTEM, "listen at %s:%u: %s",
		    at->address, at->port, uv_strerror(status));
	return false;
}

void listener_close(struct listener *listener)
{
	if (!listener->open)
		return;
	listener->open = false;
	uv_close((uv_handle_t *)&listener->tcp, NULL);
}

/*
 * Counts write progress as activity. A caller on a slow link receives an answer
 * for seconds without sending anything; treated as idle, it would get every
 * large answer truncated at the same place, however often it retried.
 */
static void record_write_progress(struct caller *caller, uint64_t now_us)
{
	size_t unwritten_bytes =
		uv_stream_get_write_queue_size((uv_stream_t *)&caller->tcp);

	if (unwritten_bytes < caller->unwritten_bytes) {
		caller->last_progress_us = now_us;
		caller->linger_since_us = now_us;
	}
	caller->unwritten_bytes = unwritten_bytes;
}

static void sweep(struct caller *caller, uint64_t now_us)
{
	const struct route_limits *current_limits = edge_limits(caller->edge);
	uint64_t idle_us;

	if (caller->closing)
		return;
	record_write_progress(caller, now_us);
	/* Held back by this node, it isn't idle. */
	if (caller->account.waiting && !caller->unwritten_bytes)
		caller->last_progress_us = now_us;
	idle_us = now_us - caller->last_progress_us;
	if (caller->exchange)
		return;
	if (caller->unwritten_bytes) {
		if (idle_us > WRITE_STALL_US)
			caller_close(caller);
	} else if (caller->lingering) {
		if (idle_us > LINGER_US ||
		    now_us - caller->linger_since_us > LINGER_MAX_US)
			caller_close(caller);
	} else if (caller->head_since_us &&
		   idle_us > current_limits->header_timeout_us) {
		reject(caller, 408, "the request did not come in time");
	} else if (idle_us > current_limits->idle_timeout_us) {
		caller_close(caller);
	}
}

/*
 * After a pause of the VM, timers fire before the bytes are read that callers
 * sent meanwhile. Timeouts would end requests that are complete in the kernel's
 * buffers, and idle connections with a new request. So idle times restart at
 * the end of the pause. Bytes read next may have arrived when it began.
 */
static void detect_pause(struct edge *edge, uint64_t now_us)
{
	uint64_t passed_us = now_us - edge->last_sweep_us;
	GList *at;

	if (passed_us >= EDGE_STALE_PAUSE_US) {
		edge->stale_until_us = now_us + EDGE_STALE_PAUSE_US;
		edge->pause_began_us = edge->last_sweep_us;
	}
	edge->last_sweep_us = now_us;
	if (passed_us < PAUSE_MIN_US)
		return;
	for (at = edge->callers.head; at; at = at->next)
		((struct caller *)at->data)->last_progress_us = now_us;
}

static void log_budget(const struct byte_budget *budget, bool used_up)
{
	log_event(used_up ? LOG_WARNING : LOG_INFO, "held-bytes",
		  "used_up=%s held_bytes=%" PRIu64 " drawn_bytes=%" PRIu64
		  " limit_bytes=%" PRIu64 " waiting=%u waits=%" PRIu64
		  " dropped=%" PRIu64,
		  used_up ? "yes" : "no", budget->held_bytes,
		  budget->drawn_bytes, budget->limit_bytes,
		  g_queue_get_length((GQueue *)&budget->waiting), budget->waits,
		  budget->dropped);
}

static void check_bytes(struct edge *edge, uint64_t now_us)
{
	struct byte_budget *budget = &edge->bytes;
	enum byte_event event = byte_budget_check(budget, now_us);
	struct byte_account *stalled = byte_budget_stalled(budget);

	if (event != BYTE_NO_EVENT)
		log_budget(budget, event == BYTE_USED_UP);
	if (stalled) {
		log_event(LOG_WARNING, "held-bytes-dropped",
			  "content=%s held_bytes=%" PRIu64 " waiting=%u",
			  stalled->content == BYTE_ANSWER ? "answer" :
							    "request",
			  stalled->held_bytes,
			  g_queue_get_length(&budget->waiting));
		stalled->vtable->drop(stalled);
	}
	stats_set_bytes(&edge->stats, budget);
}

void callers_sweep(struct edge *edge)
{
	uint64_t now_us = edge_now_us(edge);
	GList *next;
	GList *at;

	detect_pause(edge, now_us);
	check_bytes(edge, now_us);
	for (at = edge->callers.head; at; at = next) {
		next = at->next;
		sweep(at->data, now_us);
	}
}

/* Peers hand requests over on the connections on which they ask for tables. */
static bool takes_requests(const struct caller *caller)
{
	return caller->kind == LISTENER_FRONT || caller->kind == LISTENER_PEERS;
}

void callers_close_idle(struct edge *edge)
{
	GList *next;
	GList *at;

	for (at = edge->callers.head; at; at = next) {
		struct caller *caller = at->data;

		next = at->next;
		if (caller->kind == LISTENER_FRONT && !caller->exchange &&
		    !caller->head_since_us && !caller->closing &&
		    !caller->lingering)
			caller_linger(caller);
	}
}

uint32_t callers_end_requests(struct edge *edge)
{
	uint32_t ended = 0;
	GList *at;

	for (at = edge->callers.head; at; at = at->next) {
		struct caller *caller = at->data;

		if (!takes_requests(caller) || caller->closing)
			continue;
		if (caller->exchange)
			exchange_end_by_stop(caller->exchange);
		else if (caller->head_since_us && !caller->lingering)
			refuse_unfinished(caller, "stopping");
		else
			continue;
		ended++;
	}
	return ended;
}

bool callers_are_lingering(const struct edge *edge)
{
	const GList *at;

	for (at = edge->callers.head; at; at = at->next) {
		const struct caller *caller = at->data;

		if (takes_requests(caller) && caller->lingering &&
		    !caller->closing)
			return true;
	}
	return false;
}

bool callers_may_have_unread(const struct edge *edge)
{
	return edge_reads_may_be_stale(edge);
}

bool callers_are_waiting(const struct edge *edge)
{
	const GList *at;

	for (at = edge->callers.head; at; at = at->next) {
		const struct caller *caller = at->data;
		const uv_stream_t *stream = (const uv_stream_t *)&caller->tcp;

		if (takes_requests(caller) && !caller->closing &&
		    ((caller->head_since_us && !caller->lingering) ||
		     uv_stream_get_write_queue_size(stream)))
			return true;
	}
	return edge->exchanges > 0;
}

void callers_close_all(struct edge *edge)
{
	GList *at;

	for (at = edge->callers.head; at; at = at->next)
		caller_close(at->data);
}
