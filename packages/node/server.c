#include "node/server.h"

#include <arpa/inet.h>
#include <civetweb.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include "adapters/log.h"
#include "adapters/metrics.h"
#include "core/admin.h"
#include "core/wire.h"
#include "node/command.h"
#include "node/entry.h"
#include "node/hop.h"
#include "node/lookup.h"
#include "node/request.h"

#define READ_CHUNK 65536
#define DEFAULT_RETRY_AFTER_US 1000000
#define JSON_TYPE "application/json"

/* An idle connection occupies a thread, so it is closed after this time. */
#define KEEP_ALIVE_MS "60000"

struct server {
	struct node *node;
	struct mg_context *context;
	struct metric *bad_input;
	atomic_uint connections; /* open now */
};

/* Copy a header that has to fit; false where it is too long. */
static bool copy_header(struct mg_connection *conn, const char *name,
			char *text, size_t size)
{
	const char *value = mg_get_header(conn, name);

	*text = '\0';
	return !value || g_strlcpy(text, value, size) < size;
}

/* Printable and without blanks, so that it can go on in headers and logs. */
static bool is_token(const char *text)
{
	for (; *text; text++)
		if (!g_ascii_isgraph(*text))
			return false;
	return true;
}

static bool read_number(struct mg_connection *conn, const char *name,
			uint64_t *value)
{
	const char *text = mg_get_header(conn, name);

	*value = 0;
	return !text ||
	       g_ascii_string_to_unsigned(text, 10, 0, UINT64_MAX, value, NULL);
}

/* RESULT_OK with the whole body, RESULT_BODY_TOO_LARGE or RESULT_BAD_REQUEST.
 */
static enum result read_body(struct mg_connection *conn, uint64_t most_bytes,
			     GString *body)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	long long expected = info->content_length;
	char chunk[READ_CHUNK];

	if (expected > (long long)most_bytes)
		return RESULT_BODY_TOO_LARGE;
	for (;;) {
		int got = mg_read(conn, chunk, sizeof(chunk));

		if (got <= 0)
			break;
		g_string_append_len(body, chunk, got);
		if (body->len > most_bytes)
			return RESULT_BODY_TOO_LARGE;
	}
	/* A sender that stopped half way has sent no request. */
	if (expected >= 0 && body->len != (uint64_t)expected)
		return RESULT_BAD_REQUEST;
	return RESULT_OK;
}

static void append_header(GString *head, const char *name, const char *value)
{
	if (value && *value)
		g_string_append_printf(head, "%s: %s\r\n", name, value);
}

static void append_retry_after(GString *head, uint64_t retry_after_us)
{
	if (!retry_after_us)
		return;
	g_string_append_printf(head,
			       WIRE_HEADER_RETRY_AFTER
			       ": %" PRIu64 "\r\n" WIRE_HEADER_RETRY_AFTER_US
			       ": %" PRIu64 "\r\n",
			       (retry_after_us + 999999) / 1000000,
			       retry_after_us);
}

/*
 * Each open connection occupies a thread, also while it is idle. Callers that
 * keep connections open could so occupy them all, and new ones would wait in
 * vain; past this share of the threads, connections are closed after an answer.
 */
static bool is_crowded(const struct server *server)
{
	return atomic_load(&server->connections) >
	       server->node->settings->http_threads * 3 / 4;
}

/* One write, so that the answer isn't split over two segments needlessly. */
static int send_whole(struct server *server, struct mg_connection *conn,
		      int status, const char *type, const char *body,
		      size_t body_bytes, GString *headers)
{
	GString *head = g_string_new(NULL);

	g_string_append_printf(head, "HTTP/1.1 %d %s\r\n", status,
			       mg_get_response_code_text(conn, status));
	append_header(head, "Content-Type", type);
	g_string_append_printf(head, "Content-Length: %zu\r\n", body_bytes);
	/*
	 * A node that stops tells its callers to come to another one, and
	 * leaves no kept-alive connection on which a request could arrive at
	 * the moment of its exit.
	 */
	if (atomic_load(&server->node->stopping) || is_crowded(server)) {
		mg_disable_connection_keep_alive(conn);
		append_header(head, "Connection", "close");
	}
	append_header(head, WIRE_HEADER_NODE, server->node->settings->name);
	if (headers)
		g_string_append_len(head, headers->str, (gssize)headers->len);
	g_string_append(head, "\r\n");
	g_string_append_len(head, body, (gssize)body_bytes);
	mg_write(conn, head->str, head->len);
	g_string_free(head, TRUE);
	return status;
}

static int send_json(struct server *server, struct mg_connection *conn,
		     enum result result, char *json)
{
	GString *headers = g_string_new(NULL);
	int status;

	g_string_append_printf(headers, WIRE_HEADER_RESULT ": %d\r\n",
			       (int)result);
	status = send_whole(server, conn, result_http_status(result), JSON_TYPE,
			    json, strlen(json), headers);
	g_string_free(headers, TRUE);
	g_free(json);
	return status;
}

static uint64_t default_retry_after_us(const struct answer *answer)
{
	if (answer->retry_after_us)
		return answer->retry_after_us;
	if (result_http_status(answer->result) == 503)
		return DEFAULT_RETRY_AFTER_US;
	return 0;
}

static char *error_body(const struct answer *answer, uint64_t retry_us)
{
	char message[NAME_SIZE + 16];

	if (*answer->node)
		g_snprintf(message, sizeof(message), "ask node %s",
			   answer->node);
	else
		g_strlcpy(message, result_name(answer->result),
			  sizeof(message));
	return admin_answer_error(answer->result, message, retry_us);
}

static int send_answer(struct server *server, struct mg_connection *conn,
		       const struct request *request, struct answer *answer)
{
	GString *headers = g_string_new(NULL);
	uint64_t retry_us = default_retry_after_us(answer);
	const char *type = answer->content_type;
	int status = answer->http_status;

	g_string_append_printf(headers, WIRE_HEADER_RESULT ": %d\r\n",
			       (int)answer->result);
	append_header(headers, WIRE_HEADER_REQUEST_ID, request->id);
	append_header(headers, WIRE_HEADER_PLACE, answer->place);
	append_header(headers, WIRE_HEADER_BACKEND, answer->backend);
	if (answer->result != RESULT_OK) {
		answer_set(answer, answer->result, retry_us);
		answer->body = error_body(answer, retry_us);
		answer->body_bytes = strlen(answer->body);
		append_retry_after(headers, retry_us);
		type = JSON_TYPE;
		status = result_http_status(answer->result);
	}
	status = send_whole(server, conn, status, type,
			    answer->body ? answer->body : "",
			    answer->body_bytes, headers);
	g_string_free(headers, TRUE);
	return status;
}

static void draw_id(char *id)
{
	uint64_t parts[2] = { 0, 0 };

	if (getrandom(parts, sizeof(parts), 0) != sizeof(parts))
		parts[0] = state_draw();
	g_snprintf(id, ID_SIZE, "%016" PRIx64 "%016" PRIx64, parts[0],
		   parts[1]);
}

/* What the handlers of requests have in common. */
struct arrival {
	struct request request;
	GString *body;
	char path[2048];
	char service[NAME_SIZE];
};

/* Split PREFIX/SERVICE/PATH?QUERY. */
static bool split_path(const struct mg_request_info *info, const char *prefix,
		       struct arrival *arrival)
{
	const char *rest = info->request_uri + strlen(prefix);
	size_t len = strcspn(rest, "/");
	int written;

	if (!len || len >= NAME_SIZE)
		return false;
	g_strlcpy(arrival->service, rest, len + 1);
	rest += len;
	rest += *rest == '/';
	written = g_snprintf(arrival->path, sizeof(arrival->path), "%s%s%s",
			     rest, info->query_string ? "?" : "",
			     info->query_string ? info->query_string : "");
	return written < (int)sizeof(arrival->path) && is_token(arrival->path);
}

static bool read_headers(struct node *node, struct mg_connection *conn,
			 struct request *request)
{
	uint64_t left_us = 0;
	uint64_t attempt = 0;

	if (!copy_header(conn, WIRE_HEADER_REQUEST_ID, request->id, ID_SIZE) ||
	    !copy_header(conn, WIRE_HEADER_TICKET, request->ticket, ID_SIZE) ||
	    !copy_header(conn, WIRE_HEADER_ORIGIN, request->origin,
			 NAME_SIZE) ||
	    !copy_header(conn, WIRE_HEADER_SHIFT, request->shift, ID_SIZE) ||
	    !read_number(conn, WIRE_HEADER_DEADLINE, &left_us) ||
	    !read_number(conn, WIRE_HEADER_ATTEMPT, &attempt))
		return false;
	if (!is_token(request->id) || !is_token(request->ticket) ||
	    !is_token(request->origin) || !is_token(request->shift) ||
	    attempt > UINT32_MAX || left_us > INT64_MAX)
		return false;
	if (!*request->id)
		draw_id(request->id);
	request->attempt = (uint32_t)attempt;
	if (mg_get_header(conn, WIRE_HEADER_DEADLINE))
		request->deadline_us = state_now_us(node) + left_us;
	request->content_type = mg_get_header(conn, "Content-Type");
	return true;
}

static enum result read_arrival(struct server *server,
				struct mg_connection *conn, const char *prefix,
				struct arrival *arrival)
{
	const struct mg_request_info *info = mg_get_request_info(conn);
	struct request *request = &arrival->request;
	enum result result;

	request->method = info->request_method;
	request->service = arrival->service;
	request->path = arrival->path;
	if (!read_headers(server->node, conn, request) ||
	    !split_path(info, prefix, arrival))
		return RESULT_BAD_REQUEST;
	result = read_body(conn, server->node->settings->body_max_bytes,
			   arrival->body);
	if (arrival->body->len) {
		request->body = arrival->body->str;
		request->body_bytes = arrival->body->len;
	}
	return result;
}

typedef void serve_fn(struct server *server, struct mg_connection *conn,
		      struct request *request, struct answer *answer);

/* Read one request, serve it and answer. */
static int handle(struct server *server, struct mg_connection *conn,
		  const char *prefix, const char *span_name, serve_fn *serve)
{
	struct arrival arrival = { .body = g_string_new(NULL) };
	struct answer answer;
	enum result result;
	int status;

	atomic_fetch_add(&server->node->in_flight, 1);
	answer_init(&answer);
	trace_span_start(&arrival.request.span, span_name,
			 mg_get_header(conn, WIRE_HEADER_TRACEPARENT));
	result = read_arrival(server, conn, prefix, &arrival);
	if (result == RESULT_OK) {
		serve(server, conn, &arrival.request, &answer);
	} else {
		metric_add(server->bad_input, 1);
		/* The rest of a body that wasn't read is no next request. */
		mg_disable_connection_keep_alive(conn);
		answer_set(&answer, result, 0);
	}
	status = send_answer(server, conn, &arrival.request, &answer);
	trace_span_end(&arrival.request.span, answer.result,
		       "id=%s service=%s place=%s", arrival.request.id,
		       arrival.service, answer.place);
	answer_release(&answer);
	g_string_free(arrival.body, TRUE);
	atomic_fetch_sub(&server->node->in_flight, 1);
	return status;
}

static void serve_caller(struct server *server, struct mg_connection *conn,
			 struct request *request, struct answer *answer)
{
	(void)conn;
	/* What only nodes may say of a request is not taken from callers. */
	*request->shift = '\0';
	request->attempt = 0;
	entry_serve(server->node, request, answer);
}

static void serve_hop(struct server *server, struct mg_connection *conn,
		      struct request *request, struct answer *answer)
{
	uint64_t incarnation;

	if (!read_number(conn, WIRE_HEADER_INCARNATION, &incarnation) ||
	    !request->deadline_us) {
		answer_set(answer, RESULT_BAD_REQUEST, 0);
		return;
	}
	hop_serve(server->node, incarnation, request, answer);
}

static void serve_fence(struct server *server, struct mg_connection *conn,
			struct request *request, struct answer *answer)
{
	uint64_t incarnation;

	if (!read_number(conn, WIRE_HEADER_INCARNATION, &incarnation) ||
	    !*request->ticket || !request->attempt) {
		answer_set(answer, RESULT_BAD_REQUEST, 0);
		return;
	}
	hop_fence(server->node, incarnation, request->ticket, request->attempt,
		  answer);
}

static int handle_service(struct mg_connection *conn, void *context)
{
	return handle(context, conn, WIRE_PATH_SERVICE, "entry", serve_caller);
}

static int handle_hop(struct mg_connection *conn, void *context)
{
	return handle(context, conn, WIRE_PATH_HOP, "place", serve_hop);
}

/* The fence's path has no service; its own last word stands in its place. */
static int handle_fence(struct mg_connection *conn, void *context)
{
	return handle(context, conn, "/v1/", "fence", serve_fence);
}

static uint32_t caller_address(struct mg_connection *conn)
{
	struct in_addr address;

	if (inet_pton(AF_INET, mg_get_request_info(conn)->remote_addr,
		      &address) != 1)
		return 0;
	return ntohl(address.s_addr);
}

static bool query_variable(struct mg_connection *conn, const char *name,
			   char *text, size_t size)
{
	const char *query = mg_get_request_info(conn)->query_string;

	*text = '\0';
	return query && mg_get_var(query, strlen(query), name, text, size) > 0;
}

static int handle_lookup(struct mg_connection *conn, void *context)
{
	struct server *server = context;
	char service[NAME_SIZE];
	char from[NAME_SIZE];
	char *json = NULL;
	enum result result;

	if (!query_variable(conn, "service", service, sizeof(service)))
		return send_json(server, conn, RESULT_BAD_REQUEST,
				 admin_answer_error(RESULT_BAD_REQUEST,
						    "service is missing", 0));
	query_variable(conn, "from", from, sizeof(from));
	result = lookup_answer(server->node, service, *from ? from : NULL,
			       caller_address(conn), &json);
	if (!json)
		json = admin_answer_error(result, service, 0);
	return send_json(server, conn, result, json);
}

static int handle_command(struct mg_connection *conn, void *context)
{
	struct server *server = context;
	GString *body = g_string_new(NULL);
	char id[ID_SIZE];
	char *json = NULL;
	enum result result;

	if (!strcmp(mg_get_request_info(conn)->request_method, "POST")) {
		result = read_body(conn, ADMIN_REQUEST_MAX_BYTES, body);
		if (result == RESULT_OK)
			result = command_run(server->node, body->str, body->len,
					     &json);
	} else if (query_variable(conn, "id", id, sizeof(id))) {
		result = command_find(server->node, id, &json);
	} else {
		result = RESULT_BAD_REQUEST;
	}
	if (!json) {
		mg_disable_connection_keep_alive(conn);
		json = admin_answer_error(result,
					  "POST a command, or GET ?id=", 0);
	}
	g_string_free(body, TRUE);
	return send_json(server, conn, result, json);
}

static int handle_metrics(struct mg_connection *conn, void *context)
{
	char *text = metrics_format();
	int status = send_whole(context, conn, 200, "text/plain; version=0.0.4",
				text, strlen(text), NULL);

	g_free(text);
	return status;
}

static int handle_health(struct mg_connection *conn, void *context)
{
	return send_whole(context, conn, 200, "text/plain", "alive\n", 6, NULL);
}

static int handle_ready(struct mg_connection *conn, void *context)
{
	struct server *server = context;

	if (!state_version(server->node))
		return send_json(server, conn, RESULT_NO_CONFIG,
				 admin_answer_error(RESULT_NO_CONFIG,
						    "no configuration yet", 0));
	if (atomic_load(&server->node->stopping))
		return send_json(server, conn, RESULT_STOPPING,
				 admin_answer_error(RESULT_STOPPING,
						    "this node is stopping",
						    0));
	return send_whole(server, conn, 200, "text/plain", "ready\n", 6, NULL);
}

static int handle_other(struct mg_connection *conn, void *context)
{
	struct server *server = context;

	metric_add(server->bad_input, 1);
	return send_json(server, conn, RESULT_BAD_REQUEST,
			 admin_answer_error(RESULT_BAD_REQUEST, "no such path",
					    0));
}

static int open_connection(const struct mg_connection *conn, void **data)
{
	struct server *server = mg_get_user_data(mg_get_context(conn));

	(void)data;
	atomic_fetch_add(&server->connections, 1);
	return 0;
}

static void close_connection(const struct mg_connection *conn)
{
	struct server *server = mg_get_user_data(mg_get_context(conn));

	atomic_fetch_sub(&server->connections, 1);
}

static int log_message(const struct mg_connection *conn, const char *message)
{
	(void)conn;
	log_event(LOG_DEBUG, "http-server", "message=\"%s\"", message);
	return 1;
}

static void set_handlers(struct server *server)
{
	static const struct {
		const char *path;
		mg_request_handler handler;
	} doors[] = {
		{ WIRE_PATH_SERVICE, handle_service },
		{ WIRE_PATH_HOP, handle_hop },
		{ WIRE_PATH_FENCE, handle_fence },
		{ WIRE_PATH_LOOKUP "$", handle_lookup },
		{ WIRE_PATH_COMMAND "$", handle_command },
		{ WIRE_PATH_METRICS "$", handle_metrics },
		{ WIRE_PATH_HEALTH "$", handle_health },
		{ WIRE_PATH_READY "$", handle_ready },
		/* Patterns are tried in turn, and this one fits all. */
		{ "/", handle_other },
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(doors); i++)
		mg_set_request_handler(server->context, doors[i].path,
				       doors[i].handler, server);
}

struct server *server_open(struct node *node, GError **error)
{
	const struct settings *settings = node->settings;
	struct server *server = g_new0(struct server, 1);
	struct mg_callbacks callbacks = {
		.init_connection = open_connection,
		.connection_closed = close_connection,
		.log_message = log_message,
	};
	char ports[NAME_SIZE + 8], threads[12], timeout_ms[24];
	const char *options[] = { "listening_ports", ports, "num_threads",
				  threads, "request_timeout_ms", timeout_ms,
				  "enable_keep_alive", "yes",
				  "keep_alive_timeout_ms", KEEP_ALIVE_MS,
				  "tcp_nodelay", "1", "max_request_size",
				  "16384", "listen_backlog", "1024",
				  /* Files are never served. */
				  "enable_directory_listing", "no", NULL };

	g_snprintf(ports, sizeof(ports), "%s:%u", settings->address,
		   settings->http_port);
	g_snprintf(threads, sizeof(threads), "%u", settings->http_threads);
	g_snprintf(timeout_ms, sizeof(timeout_ms), "%" PRIu64,
		   settings->header_timeout_us / 1000);
	server->node = node;
	server->bad_input = metric_counter("lilacfield_bad_input_total",
					   "Requests that were malformed",
					   NULL);
	mg_init_library(0);
	server->context = mg_start(&callbacks, server, options);
	if (!server->context) {
		g_set_error(error, RESULT_ERROR, RESULT_SYSTEM,
			    "can't listen on %s", ports);
		g_free(server);
		return NULL;
	}
	set_handlers(server);
	return server;
}

void server_close(struct server *server)
{
	if (!server)
		return;
	mg_stop(server->context);
	mg_exit_library();
	g_free(server);
}
